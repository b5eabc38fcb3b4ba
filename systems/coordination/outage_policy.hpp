#pragma once

#include "core/units.hpp"

namespace cowslippass
{

/// A store that has accepted nothing for this long is away. The coordinator's
/// term is renewed more than twice in this time while the store works.
inline constexpr milliseconds outage_age{1'000};

/// @param wait how long the caller still waits.
/// @return whether the caller can return after a refusal, and then still wait
///   for the submission to be stored.
bool may_return_in_time(milliseconds wait);

/// @param wait how long the caller still waits.
/// @return how long a submission is held that cannot be stored now: long enough
///   for slow transactions and a planned change of the coordinator, and until
///   the caller gives up if it could not return in time.
milliseconds get_outage_holding_time(milliseconds wait);

/// @param wait how long the caller still waits.
/// @param age how long the outage has lasted.
/// @return when a refused caller should return, in whole seconds: an outage
///   usually lasts about as long again as it has lasted, but the caller's next
///   attempt has to begin in the first half of the time that it still waits.
milliseconds get_outage_retry_delay(milliseconds wait, milliseconds age);

} // namespace cowslippass
