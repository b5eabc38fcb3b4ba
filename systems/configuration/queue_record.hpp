#pragma once

#include "systems/configuration/fleet_config.hpp"

#include <string>

namespace cowslippass
{

/// @return JSON text for the queue's row in the ledger.
std::string encode_queue_config(const queue_config& queue);

/// @throws systems_error (`bad_queue`) if the text is not an encoded queue.
queue_config decode_queue_config(const std::string& text);

} // namespace cowslippass
