#pragma once

/// Public header of the drivers library: sockets, HTTP, the connections between
/// entries, the clients of the platform and the targets, settings, logs and
/// metrics.

#include "drivers/asio.hpp"
#include "drivers/command_client.hpp"
#include "drivers/connection_table.hpp"
#include "drivers/endpoint.hpp"
#include "drivers/http_client.hpp"
#include "drivers/http_message.hpp"
#include "drivers/http_server.hpp"
#include "drivers/log.hpp"
#include "drivers/loop_delay_meter.hpp"
#include "drivers/metrics.hpp"
#include "drivers/peer_client.hpp"
#include "drivers/peer_connection.hpp"
#include "drivers/peer_message.hpp"
#include "drivers/peer_server.hpp"
#include "drivers/platform_client.hpp"
#include "drivers/platform_clock.hpp"
#include "drivers/platform_store.hpp"
#include "drivers/refusal_reporter.hpp"
#include "drivers/settings.hpp"
#include "drivers/target_client.hpp"
#include "drivers/task_supervisor.hpp"
