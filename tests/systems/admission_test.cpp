#include "systems/admission.hpp"

#include <gtest/gtest.h>

namespace cowslippass
{

namespace
{

fleet_state make_state()
{
    fleet_state out;
    key_record key{key_id("k"), team_id("red"), sha256_hex("red-secret")};
    key_record other{key_id("o"), team_id("blue"), sha256_hex("blue-secret")};
    queue_record closed;
    closed.id = queue_id("closed");
    closed.pool = pool_id("p");
    closed.team = team_id("red");
    queue_record open = closed;
    open.id = queue_id("open");
    open.is_open = true;
    open.team = team_id("blue");
    out.apply(config_version(1),
        {team_record{team_id("red"), 1, task_count(1)},
            team_record{team_id("blue"), 1, task_count(1)},
            pool_record{pool_id("p")}, key, other, closed, open});
    return out;
}

/// @return the team of an admitted request, or the error code of a refused one.
std::string get_code(
    const fleet_state& state, const char* queue, std::string_view authorization)
{
    try
    {
        return "team " +
               admit_request(state, queue_id(queue), authorization).team.get();
    }
    catch (const admission_error& e)
    {
        return e.get_code();
    }
}

} // namespace

// Guards against a request that is admitted for a team without that team's key.
TEST(admission, accepts_work_only_for_the_team_of_the_key)
{
    fleet_state state = make_state();
    EXPECT_EQ(get_code(state, "closed", "Bearer red-secret"), "team red");
    EXPECT_EQ(
        get_code(state, "closed", "Bearer blue-secret"), "queue_not_allowed");
    EXPECT_EQ(get_code(state, "closed", ""), "missing_key");
    EXPECT_EQ(get_code(state, "closed", "Basic red-secret"), "missing_key");
    EXPECT_EQ(get_code(state, "closed", "Bearer wrong"), "unknown_key");
    EXPECT_EQ(get_code(state, "none", "Bearer red-secret"), "unknown_queue");
}

// Guards against a request to an open queue that counts for the wrong team or
// is refused: without a key it counts for the team of the queue.
TEST(admission, an_open_queue_counts_for_its_team_or_for_that_of_the_key)
{
    fleet_state state = make_state();
    EXPECT_EQ(get_code(state, "open", ""), "team blue");
    EXPECT_EQ(get_code(state, "open", "Bearer red-secret"), "team red");
}

// Guards against a key that still works after it has been withdrawn.
TEST(admission, a_withdrawn_key_is_unknown)
{
    fleet_state state = make_state();
    state.apply(config_version(2), {key_withdrawn_record{key_id("k")}});
    EXPECT_EQ(get_code(state, "closed", "Bearer red-secret"), "unknown_key");
}

} // namespace cowslippass
