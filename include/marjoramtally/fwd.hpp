/// Forward declarations of commonly used public types, for headers that use
/// them only by pointer or reference. Ids are type aliases; include
/// `base/ids.hpp` for them.
#pragma once

namespace marjoramtally {

// base
class Clock;
class Findings;
class IndexSet;
class ManualClock;
class SystemClock;

// request
struct RequestSpec;
struct Sample;

// version
class JobLedger;
class LeadPolicy;
class TakeClient;
class TrainerLedger;
class VersionHistory;
struct JobResult;
struct JobSpec;
struct Rules;
struct StepSpec;
struct TakeResult;
struct TakeSpec;

// process
class Admission;
class CallerLimits;
class ClaimTable;
class JobTakeover;
class LeaseKeeper;
class Membership;
class Quarantine;
class RelayPlan;
class RetryBudget;
class RouteTable;
class Router;
class UpstreamTable;
class WeightPlan;
struct QueuedRequest;
struct UpstreamReport;
struct UpstreamView;

// runtime
class CallerRegistry;
class HttpClient;
class HttpServer;
class IoPool;
class LoopTimers;
class Metrics;
class Platform;
class Store;

} // namespace marjoramtally
