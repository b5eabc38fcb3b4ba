#pragma once

#include "core/core.hpp"

#include <optional>
#include <string>

namespace cowslippass
{

/// The platform's clock, told by the header `Date` of its answers. It is the
/// only clock that all entries share; rows are dated and aged by it.
class platform_clock
{
public:
    /// @param date as in RFC 9110; anything else is ignored.
    void note_date(const std::string& date, monotonic_time received);

    /// @return the platform's time, behind by at most a second and the delay
    ///   of the answer that told it; 0 when no answer did.
    platform_time get_time(monotonic_time now) const;

private:
    struct reading
    {
        platform_time time;
        monotonic_time received;
    };
    std::optional<reading> last_;
};

} // namespace cowslippass
