/// Public header of the runtime library: sockets, threads, HTTP, RPC, logging,
/// metrics and stores.
#pragma once

#include "marjoramtally/runtime/embedded_store.hpp"
#include "marjoramtally/runtime/etcd_store.hpp"
#include "marjoramtally/runtime/http_client.hpp"
#include "marjoramtally/runtime/http_server.hpp"
#include "marjoramtally/runtime/http_types.hpp"
#include "marjoramtally/runtime/io_pool.hpp"
#include "marjoramtally/runtime/log.hpp"
#include "marjoramtally/runtime/log_explanation.hpp"
#include "marjoramtally/runtime/log_limit.hpp"
#include "marjoramtally/runtime/loop_timers.hpp"
#include "marjoramtally/runtime/metrics.hpp"
#include "marjoramtally/runtime/open_store.hpp"
#include "marjoramtally/runtime/platform.hpp"
#include "marjoramtally/runtime/program.hpp"
#include "marjoramtally/runtime/rpc.hpp"
#include "marjoramtally/runtime/rpc_mac.hpp"
#include "marjoramtally/runtime/send_window.hpp"
#include "marjoramtally/runtime/store.hpp"
#include "marjoramtally/runtime/timers.hpp"
#include "marjoramtally/runtime/trace.hpp"
