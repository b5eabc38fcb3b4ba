#pragma once

#include "core/core.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace cowslippass
{

/// Value of a row `grants/<team>`: the grants of each session.
struct grant_row
{
    std::map<session_id, std::uint32_t> holders;

    /// @return 0 for a session without grants.
    std::uint32_t get(session_id session) const;
    /// Removes the session when `count` is 0.
    void set(session_id session, std::uint32_t count);
    /// @return grants of all sessions.
    std::uint32_t get_total() const;

    /// @return `{"holders":{"<session>":n},…}`.
    std::string encode() const;

    /// @param text the encoded value; empty for an absent row.
    /// @throws systems_error (`bad_grant_row`) when the text is malformed.
    static grant_row decode(const std::string& text);
    /// @return the key of the team's row.
    static std::string get_key(const team_id& team);
};

} // namespace cowslippass
