#include "systems/coordination/outage_policy.hpp"

#include <gtest/gtest.h>

namespace cowslippass
{

namespace
{

/// A caller that is held and refused as the policy says, and returns when it
/// was told to.
/// @param patience how long it waits, over all attempts.
/// @param end when the outage ends; both in milliseconds.
/// @return whether an attempt was held, or came, after the end.
bool reaches_the_end(int patience, int end, bool is_known_to_be_away)
{
    milliseconds now(0);
    while (now < milliseconds(patience))
    {
        milliseconds wait = milliseconds(patience) - now;
        bool is_refused_at_once =
            is_known_to_be_away && may_return_in_time(wait);
        milliseconds held = is_refused_at_once ? milliseconds(0)
                                               : get_outage_holding_time(wait);
        if (now + held >= milliseconds(end))
            return true;
        now += held;
        milliseconds left = milliseconds(patience) - now;
        now += get_outage_retry_delay(left, now);
    }
    return false;
}

} // namespace

// Load: callers that wait three seconds in all, and an outage of the store.
// Guards against callers that are sent away for longer than they wait.
TEST(outage_policy_test, a_caller_reaches_over_an_outage_that_ends_in_its_time)
{
    for (int patience : {1'400, 2'000, 2'850, 5'000, 10'000, 30'000})
        for (int end = 0; end < patience - 1'500; end += 50)
            for (bool is_known : {false, true})
                EXPECT_TRUE(reaches_the_end(patience, end, is_known))
                    << patience << ' ' << end << ' ' << is_known;
}

// The same for callers with little time: they are held until it is over.
TEST(outage_policy_test, holds_a_caller_that_could_not_return_in_time)
{
    for (int wait : {150, 500, 850, 1'200, 2'200})
        EXPECT_EQ(get_outage_holding_time(milliseconds(wait)),
            milliseconds(wait - 100));
    EXPECT_EQ(
        get_outage_holding_time(milliseconds(2'850)), milliseconds(1'000));
    EXPECT_EQ(get_outage_holding_time(milliseconds(50)), milliseconds(0));
}

// Load: callers that wait for long, in a long outage. Guards against attempts
// that are used up in its first seconds.
TEST(outage_policy_test, patient_callers_return_later_and_later)
{
    milliseconds wait(30'000);
    EXPECT_EQ(
        get_outage_retry_delay(wait, milliseconds(300)), milliseconds(1'000));
    EXPECT_EQ(
        get_outage_retry_delay(wait, milliseconds(2'900)), milliseconds(2'000));
    EXPECT_EQ(get_outage_retry_delay(wait, milliseconds(60'000)),
        milliseconds(4'000));
    EXPECT_EQ(get_outage_retry_delay(milliseconds(1'850), milliseconds(60'000)),
        milliseconds(1'000));
}

} // namespace cowslippass
