/// Public header of the connection library: messages between processes.
#pragma once

#include "marjoramtally/connection/config_messages.hpp"
#include "marjoramtally/connection/gossip_messages.hpp"
#include "marjoramtally/connection/job_messages.hpp"
#include "marjoramtally/connection/suspicion_messages.hpp"
#include "marjoramtally/connection/trainer_messages.hpp"
