/// Queues of the requests that wait for an upstream. Each service serves live
/// callers first, by deadline, then trainers by weighted fair share, and
/// background callers last, with a small guaranteed share.
#pragma once

#include "marjoramtally/process/deadline_queue.hpp"
#include "marjoramtally/process/early_refusal.hpp"
#include "marjoramtally/process/output_estimate.hpp"
#include "marjoramtally/version/rules.hpp"

namespace marjoramtally {

/// A request in the queue.
struct QueuedRequest
{
  TicketId ticket_;
  RequestSpec spec_;
};

/// Settings of the queues.
struct AdmissionSettings
{
  AllClassLimits classes_ = kDefaultClassLimits;
  FairQueueSettings fair_;
  /// Refuse requests that are not expected to meet their deadline.
  bool earlyRefusal_ = true;
};

/// Whether a request was queued.
struct AdmissionVerdict
{
  enum class Kind : std::uint8_t
  {
    Queued,
    QueueFull,
    WouldBeLate,
  };
  Kind kind_ = Kind::Queued;
  /// Expected time in the queue.
  Duration wait_{ 0 };
  /// Set if refused: time after which a resend can succeed.
  Duration retryAfter_{ 0 };
};

/// Queues of one entry process. Operations cost O(log n) in the number of
/// waiting requests. Not thread-safe.
class Admission
{
public:
  explicit Admission(AdmissionSettings aSettings = {}) noexcept
    : settings_(aSettings)
  {
  }

  void SetClasses(const AllClassLimits& aClasses) noexcept
  {
    settings_.classes_ = aClasses;
  }
  void SetWeight(const ServiceId& aService,
                 const TrainerId& aTrainer,
                 std::uint64_t aWeight);
  /// Sets how many requests a service's upstreams run at once; 0 means
  /// unknown.
  void SetCapacity(const ServiceId& aService, std::uint64_t aSlots);

  /// Queues a new request or refuses it.
  [[nodiscard]] AdmissionVerdict Enqueue(QueuedRequest aRequest,
                                         TimePoint aNow);
  /// Queues a retried request ahead of all others of its class.
  void EnqueueFront(QueuedRequest aRequest, TimePoint aNow);
  /// @returns the request of a service to dispatch next, which stays queued;
  /// nullptr if none may be dispatched now
  [[nodiscard]] const QueuedRequest* Next(const ServiceId& aService,
                                          TimePoint aNow);
  /// Marks a waiting request as dispatched and removes it from its queue.
  void Dispatch(TicketId aTicket, TimePoint aNow);
  /// Skips requests like this one until `Resume`, because no upstream accepts
  /// them now.
  void Stall(TicketId aTicket);
  void Resume(const ServiceId& aService);
  /// Ends a dispatched request.
  /// @param aTokens tokens generated, if the answer was complete
  void Complete(TicketId aTicket,
                std::optional<std::uint64_t> aTokens,
                TimePoint aNow);
  /// Removes a waiting request.
  void Remove(TicketId aTicket);
  /// Removes and returns requests that can no longer meet their deadline, even
  /// if the deadline has not passed yet.
  [[nodiscard]] std::vector<QueuedRequest> Expire(TimePoint aNow);
  /// @returns services with waiting requests
  [[nodiscard]] std::vector<ServiceId> Waiting() const;
  /// @returns time until the queue ahead of such a request has drained
  [[nodiscard]] Duration ExpectedWait(const RequestSpec& aRequest) const;
  /// @returns tokens that such a request is expected to generate
  [[nodiscard]] double ExpectedTokens(const RequestSpec& aRequest) const
  {
    return estimate_.Tokens(aRequest);
  }
  [[nodiscard]] std::size_t size() const noexcept;
  /// @returns the number of waiting requests of a class
  [[nodiscard]] std::size_t size(RequestClass aClass) const noexcept
  {
    return waiting_.at(static_cast<std::size_t>(aClass));
  }

private:
  struct ServiceQueue
  {
    explicit ServiceQueue(FairQueueSettings aFair) noexcept
      : trainers_(aFair)
    {
    }

    DeadlineQueue live_;
    FairQueue trainers_;
    DeadlineQueue background_;
    EarlyRefusal refusal_;
    std::array<double, kRequestClasses> queuedCost_{};
    /// Requests that the upstreams run at once; 0 if unknown.
    std::uint64_t slots_ = 0;
    std::uint64_t nonLiveInFlight_ = 0;
    /// Dispatches since the last dispatch of a background request.
    std::uint64_t dispatchesSinceBackground_ = 0;
  };
  struct Entry
  {
    QueuedRequest request_;
    double cost_ = 1;
    /// Latest dispatch time that can meet the deadline.
    TimePoint latestStart_ = kNever;
    Duration expectedWait_{ 0 };
    TimePoint queuedAt_;
    TimePoint dispatchedAt_;
    bool dispatched_ = false;
  };

  [[nodiscard]] ServiceQueue& QueueOf(const ServiceId& aService);
  [[nodiscard]] const ClassLimits& Limits(RequestClass aClass) const noexcept;
  /// @returns cost that is dispatched before such a request, divided by the
  /// share of the drain rate that serves its queue
  [[nodiscard]] double CostAhead(const ServiceQueue& aQueue,
                                 const RequestSpec& aRequest) const;
  void Insert(QueuedRequest aRequest,
              Duration aExpectedWait,
              bool aFront,
              TimePoint aNow);
  /// Removes an entry from the queue of its class and from the totals. A
  /// trainer's request stays in its fair queue.
  void RemoveFromQueue(const Entry& aEntry);
  [[nodiscard]] std::optional<TicketId> NextNonLive(ServiceQueue& aQueue,
                                                    TimePoint aNow);
  [[nodiscard]] bool BackgroundIsDue(const ServiceQueue& aQueue) const noexcept;

  AdmissionSettings settings_;
  std::map<ServiceId, ServiceQueue> services_;
  std::unordered_map<TicketId, Entry> entries_;
  std::set<std::pair<TimePoint, TicketId>> latestStarts_;
  std::array<std::size_t, kRequestClasses> waiting_{};
  OutputEstimate estimate_;
};

} // namespace marjoramtally
