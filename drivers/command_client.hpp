#pragma once

#include "core/core.hpp"
#include "drivers/asio.hpp"

#include <string>
#include <vector>

namespace cowslippass
{

/// One operator command as it is sent to an entry.
struct command_request
{
    std::string text;
    std::string key;        ///< The operator's secret.
    command_id id;          ///< The same on every attempt, so it applies once.
    bool is_change = false; ///< May take effect; false for dry runs.
    bool is_wait = false;   ///< Answer only once the change is in force.
    bool is_dry_run = false;
    milliseconds timeout{30'000}; ///< For all attempts together.
};

enum class command_outcome
{
    done,     ///< The body is the entry's answer.
    refused,  ///< Nothing was changed; the body is an error.
    no_entry, ///< Nothing was changed; no entry could serve the command.
    unknown   ///< The change may or may not have been committed.
};

struct command_reply
{
    command_outcome outcome = command_outcome::no_entry;
    std::string body;    ///< JSON; empty if no entry answered.
    std::string code;    ///< Of the last error, or empty.
    std::string message; ///< For people, unless the outcome is `done`.
};

/// Sends `command` to the entries in turn until one gives a definite answer.
/// A change whose outcome is unknown is sent to every entry once more.
/// @param entries at least one.
asio::awaitable<command_reply> send_command(asio::io_context& io,
    const std::vector<tcp::endpoint>& entries, const command_request& command);

} // namespace cowslippass
