/// The queues of requests that wait for an upstream: for each service, live
/// callers by deadline, trainers by weighted fair share, background callers
/// last with a small share.
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

/// How the queues decide.
struct AdmissionSettings
{
  AllClassLimits classes_ = kDefaultClassLimits;
  FairQueueSettings fair_;
  /// Refuse what is not expected to meet its deadline.
  bool earlyRefusal_ = true;
};

/// Whether a request was taken into the queue.
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
  /// Set if refused: when a resend can succeed.
  Duration retryAfter_{ 0 };
};

/// Queues of one entry process. Operations cost O(log n) in the requests
/// waiting. Not thread-safe.
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
  /// Sets the requests that a service's upstreams take at once; 0 is unknown.
  void SetCapacity(const ServiceId& aService, std::uint64_t aSlots);

  /// Takes a new request, or says why not.
  [[nodiscard]] AdmissionVerdict Enqueue(QueuedRequest aRequest,
                                         TimePoint aNow);
  /// Puts a request that is to be sent again before all of its class.
  void EnqueueFront(QueuedRequest aRequest, TimePoint aNow);
  /// @returns the request of a service to dispatch next, which stays queued
  [[nodiscard]] const QueuedRequest* Next(const ServiceId& aService,
                                          TimePoint aNow);
  /// Takes a waiting request out for dispatch.
  void Dispatch(TicketId aTicket, TimePoint aNow);
  /// Passes over requests like this one until `Resume`: no upstream takes
  /// them now.
  void Stall(TicketId aTicket);
  void Resume(const ServiceId& aService);
  /// Ends a dispatched request.
  /// @param aTokens tokens generated, if the answer was whole
  void Complete(TicketId aTicket,
                std::optional<std::uint64_t> aTokens,
                TimePoint aNow);
  /// Withdraws a waiting request.
  void Remove(TicketId aTicket);
  /// Removes and returns requests that can no longer meet their deadline,
  /// also if it has not passed yet.
  [[nodiscard]] std::vector<QueuedRequest> Expire(TimePoint aNow);
  /// @returns services with waiting requests
  [[nodiscard]] std::vector<ServiceId> Waiting() const;
  /// @returns time in which the queue ahead of such a request drains
  [[nodiscard]] Duration ExpectedWait(const RequestSpec& aRequest) const;
  /// @returns tokens that such a request is expected to generate
  [[nodiscard]] double ExpectedTokens(const RequestSpec& aRequest) const
  {
    return estimate_.Tokens(aRequest);
  }
  [[nodiscard]] std::size_t size() const noexcept;
  /// @returns requests of a class that wait
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
    std::uint64_t slots_ = 0;
    std::uint64_t nonLiveInFlight_ = 0;
    /// Dispatches since the last one of background callers.
    std::uint64_t dispatchesSinceBackground_ = 0;
  };
  struct Entry
  {
    QueuedRequest request_;
    double cost_ = 1;
    /// When it must be dispatched to meet its deadline.
    TimePoint latestStart_ = kNever;
    Duration expectedWait_{ 0 };
    TimePoint queuedAt_;
    TimePoint dispatchedAt_;
    bool dispatched_ = false;
  };

  [[nodiscard]] ServiceQueue& QueueOf(const ServiceId& aService);
  [[nodiscard]] const ClassLimits& Limits(RequestClass aClass) const noexcept;
  /// @returns cost that goes before such a request, over its share
  [[nodiscard]] double CostAhead(const ServiceQueue& aQueue,
                                 const RequestSpec& aRequest) const;
  void Insert(QueuedRequest aRequest,
              Duration aExpectedWait,
              bool aFront,
              TimePoint aNow);
  /// Takes an entry out of its class's queue.
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
