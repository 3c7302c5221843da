/// Processes that follow one prefix of a fake store through relays.
#pragma once

#include "daemon/prefix_follower.hpp"
#include "daemon/relayed_store.hpp"
#include "marjoramtally/process.hpp"
#include "store_link.hpp"

#include <memory>
#include <set>

namespace marjoramtally::test {

/// Each process knows all others from the start.
class RelayFleet
{
public:
  static constexpr const char* kPrefix = "k/";

  struct Member
  {
    Member(const std::string& aName, FakeStore& aStore, LoopTimers& aTimers)
      : plan_(aName)
      , link_(aStore, aTimers)
    {
    }

    RelayPlan plan_;
    StoreLink link_;
    std::unique_ptr<RelayedStore> store_;
    std::unique_ptr<PrefixFollower> follower_;
    std::map<std::string, std::string> records_;
    std::size_t snapshots_ = 0;
    /// Bytes of answers sent to peers, and the largest answer.
    std::size_t sent_ = 0;
    std::size_t largest_ = 0;
  };

  explicit RelayFleet(int aProcesses)
  {
    std::vector<std::string> names;
    for (int i = 0; i < aProcesses; ++i) {
      names.push_back("p" + std::to_string(i) + "~1");
    }
    for (const std::string& name : names) {
      auto member = std::make_unique<Member>(name, store_, timers_);
      for (std::size_t i = 0; i < names.size(); ++i) {
        member->plan_.OnAlive(
          names[i], { ZoneId{ "z" + std::to_string(i % 5) }, names[i] });
      }
      members_[name] = std::move(member);
    }
  }

  /// Starts all processes, within 0.3 s of each other.
  void Start()
  {
    Duration delay{ 0 };
    for (const auto& [name, member] : members_) {
      timers_.After(delay, [this, name = name] { Start(name); });
      delay = (delay + std::chrono::milliseconds(7)) %
              Duration{ std::chrono::milliseconds(300) };
    }
  }

  void Start(const std::string& aName)
  {
    Member& member = *members_.at(aName);
    member.store_ = std::make_unique<RelayedStore>(
      member.link_,
      timers_,
      clock_,
      [this](const std::string& aRelay,
             const WatchAsk& aAsk,
             StoreDone<StoreWatchBatch> aDone) {
        Ask(aRelay, aAsk, std::move(aDone));
      },
      [&member](const std::string& aPrefix) -> const std::vector<std::string>& {
        return member.plan_.Relays(aPrefix);
      });
    member.follower_ =
      std::make_unique<PrefixFollower>(*member.store_, timers_, kPrefix);
    member.follower_->onSnapshot_ = [&member](const StoreRange& aRange) {
      ++member.snapshots_;
      member.records_.clear();
      for (const StoreRecord& record : aRange.records_) {
        member.records_[record.key_] = record.value_;
      }
    };
    member.follower_->onChange_ = [&member](const StoreEvent& aEvent) {
      if (aEvent.deleted_) {
        member.records_.erase(aEvent.record_.key_);
      } else {
        member.records_[aEvent.record_.key_] = aEvent.record_.value_;
      }
    };
    member.follower_->Start();
  }

  /// Ends a process without notice.
  void Kill(const std::string& aName)
  {
    Member& member = *members_.at(aName);
    member.follower_.reset();
    member.store_.reset();
    killed_.insert(aName);
  }

  /// Confirms the state of the store to all watches, as its adapter does.
  void Renew()
  {
    store_.SendBatch(kPrefix, { false, false, store_.Revision(), {} });
    timers_.After(std::chrono::seconds(1), [this] { Renew(); });
  }

  void LoseHistory()
  {
    for (const auto& [name, member] : members_) {
      member->link_.LoseHistory();
    }
  }

  [[nodiscard]] std::map<std::string, std::string> Expected() const
  {
    std::map<std::string, std::string> records;
    for (const auto& [key, record] : store_.records_) {
      if (key.starts_with(kPrefix)) {
        records[key] = record.value_;
      }
    }
    return records;
  }

  /// @returns how many living processes hold exactly the records of the store
  [[nodiscard]] std::size_t CountComplete() const
  {
    const auto expected = Expected();
    std::size_t count = 0;
    for (const auto& [name, member] : members_) {
      count += !killed_.contains(name) && member->records_ == expected ? 1 : 0;
    }
    return count;
  }

  [[nodiscard]] std::size_t CountRelays() const
  {
    std::size_t count = 0;
    for (const auto& [name, member] : members_) {
      count += member->plan_.Relays(kPrefix).empty() ? 1 : 0;
    }
    return count;
  }

  [[nodiscard]] std::size_t CountSnapshots() const
  {
    std::size_t count = 0;
    for (const auto& [name, member] : members_) {
      count += member->snapshots_;
    }
    return count;
  }

  ManualClock clock_;
  ManualTimers timers_{ clock_ };
  FakeStore store_{ timers_ };
  std::map<std::string, std::unique_ptr<Member>> members_;
  std::set<std::string> killed_;
  /// Processes that do not answer their peers.
  std::set<std::string> silent_;

private:
  /// A call that ends with its first answer or its time-out.
  void Ask(const std::string& aRelay,
           const WatchAsk& aAsk,
           StoreDone<StoreWatchBatch> aDone)
  {
    const auto answered = std::make_shared<bool>(false);
    const auto end = [answered, done = std::move(aDone)](
                       const Result<StoreWatchBatch>& aBatch) {
      if (!std::exchange(*answered, true)) {
        done(aBatch);
      }
    };
    timers_.After(std::chrono::milliseconds(1300), [end] {
      end(Error{ ErrorKind::Timeout, "no answer" });
    });
    timers_.After(std::chrono::milliseconds(1),
                  [this, aRelay, aAsk, end] { Serve(aRelay, aAsk, end); });
  }

  void Serve(const std::string& aRelay,
             const WatchAsk& aAsk,
             const StoreDone<StoreWatchBatch>& aDone)
  {
    Member& relay = *members_.at(aRelay);
    if (silent_.contains(aRelay)) {
      return;
    }
    if (relay.store_ == nullptr) {
      aDone(Error{ ErrorKind::Unavailable, "connection refused" });
      return;
    }
    relay.store_->Serve(aAsk, [&relay, aDone](const auto& aBytes) {
      if (!aBytes) {
        aDone(aBytes.error());
        return;
      }
      relay.sent_ += aBytes.value().size();
      relay.largest_ = std::max(relay.largest_, aBytes.value().size());
      aDone(DecodeWatchBatch(aBytes.value()));
    });
  }
};

} // namespace marjoramtally::test
