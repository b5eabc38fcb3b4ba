#pragma once

/// Public header of the platform library: sockets, HTTP, settings, logs.

#include "drivers/asio.hpp"
#include "drivers/command_client.hpp"
#include "drivers/endpoint.hpp"
#include "drivers/http_client.hpp"
#include "drivers/http_message.hpp"
#include "drivers/http_server.hpp"
#include "drivers/log.hpp"
#include "drivers/metrics.hpp"
#include "drivers/peer_connection.hpp"
#include "drivers/peer_link.hpp"
#include "drivers/peer_message.hpp"
#include "drivers/platform_clock.hpp"
#include "drivers/settings.hpp"
#include "drivers/table_client.hpp"
#include "drivers/target_client.hpp"
