#pragma once

#include "core/core.hpp"

#include <optional>
#include <string>

namespace cowslippass
{

/// The platform's clock, estimated from the `Date` header of its responses. It
/// is the only clock that all entries share, so timestamps in rows and the ages
/// of rows use it.
class platform_clock
{
public:
    /// @param date value of a `Date` header (RFC 9110); other text is ignored.
    /// @param received when the response arrived.
    void update_from_date(const std::string& date, monotonic_time received);

    /// @return the platform's time, at most one second plus the delay of the
    ///   last response behind it; 0 before the first `Date` header.
    platform_time get_time(monotonic_time now) const;

private:
    struct reading
    {
        platform_time time;
        monotonic_time received;
    };
    std::optional<reading> last_reading_;
};

} // namespace cowslippass
