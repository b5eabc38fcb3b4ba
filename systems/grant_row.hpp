#pragma once

#include "core/core.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace cowslippass
{

/// Value of a row `grants/<team>`: tasks granted to each session.
struct grant_row
{
    std::map<session_id, std::uint32_t> holders;

    std::uint32_t get(session_id session) const;
    /// Removes the holder when `count` is 0.
    void set(session_id session, std::uint32_t count);
    std::uint32_t get_total() const;

    /// @return `{"holders":{"<session>":n},…}`.
    std::string encode() const;

    /// @param text empty for a row that is absent.
    /// @throws systems_error (`bad_grant_row`).
    static grant_row decode(const std::string& text);
    static std::string get_key(const team_id& team);
};

} // namespace cowslippass
