#pragma once

#include "core/core.hpp"
#include "drivers/asio.hpp"

#include <string>
#include <vector>

namespace cowslippass
{

/// An operator command as it is sent to an entry.
struct command_request
{
    std::string text;
    std::string key; ///< The operator's secret.
    /// Idempotency key: the same on every attempt, so that the command is
    /// applied at most once.
    command_id id;
    /// Whether the command may change the fleet; false for queries and dry
    /// runs.
    bool is_change = false;
    /// The entry responds only once the change is in force on every entry.
    bool waits_until_in_force = false;
    bool is_dry_run = false;
    milliseconds timeout{30'000}; ///< For all attempts in total.
};

enum class command_outcome
{
    done,    ///< The command succeeded; the body is the entry's response.
    refused, ///< Nothing changed: an entry rejected it; the body is an error.
    /// Nothing changed; no entry could serve the command.
    no_entry_available,
    unknown ///< The change may or may not have been committed.
};

struct command_reply
{
    command_outcome outcome = command_outcome::no_entry_available;
    std::string body;    ///< JSON; empty if no entry responded.
    std::string code;    ///< Error code of the last response, or empty.
    std::string message; ///< Human-readable; unused if the outcome is `done`.
};

/// Sends `command` to the entries in turn until one gives a definite response.
/// If the outcome of a change is still unknown after the last entry, each entry
/// is tried once more.
/// @param entries at least one.
/// @return the definite response, or the last one; its outcome is `unknown`
///   when any attempt may have committed the change.
asio::awaitable<command_reply> send_command(asio::io_context& io,
    const std::vector<tcp::endpoint>& entries, const command_request& command);

} // namespace cowslippass
