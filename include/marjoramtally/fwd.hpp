/// Forward declarations of the public types most used, for headers that name
/// them only by pointer or reference. Ids are aliases: include
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
class LeadPolicy;
class TakeClient;
class TrainerLedger;
class VersionHistory;
struct Rules;
struct StepSpec;
struct TakeResult;
struct TakeSpec;

// process
class Admission;
class ClaimTable;
class LeaseKeeper;
class Membership;
class Quarantine;
class RetryBudget;
class Router;
struct QueuedRequest;
struct UpstreamReport;
struct UpstreamView;

// runtime
class HttpClient;
class HttpServer;
class IoPool;
class Store;

} // namespace marjoramtally
