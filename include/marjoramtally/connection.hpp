/// Public header of the connection library: what goes over connections.
#pragma once

#include "marjoramtally/connection/config_messages.hpp"
#include "marjoramtally/connection/gossip_messages.hpp"
#include "marjoramtally/connection/job_messages.hpp"
#include "marjoramtally/connection/suspicion_messages.hpp"
#include "marjoramtally/connection/trainer_messages.hpp"
