#include "systems/routing.hpp"

#include <gtest/gtest.h>

namespace cowslippass
{

namespace
{

route_candidate make(const char* name, bool is_local, std::uint32_t free_slots,
    std::uint32_t waiting)
{
    route_candidate out;
    out.data_centre = data_centre_id(name);
    out.is_local = is_local;
    out.targets = 1;
    out.free_slots = free_slots;
    out.waiting = waiting;
    return out;
}

} // namespace

// Guards against needless hops between data centres.
TEST(routing, prefers_the_local_data_centre_while_it_has_room)
{
    auto out = choose_route({make("a", true, 1, 0), make("b", false, 90, 0)});
    EXPECT_EQ(out.rule, route_rule::local);
    EXPECT_EQ(out.data_centre, data_centre_id("a"));
}

// Guards against requests that wait while another data centre has free slots.
TEST(routing, leaves_a_full_data_centre_for_one_with_free_slots)
{
    auto out = choose_route({make("a", true, 0, 3), make("b", false, 5, 1)});
    EXPECT_EQ(out.rule, route_rule::remote_free);
    EXPECT_EQ(out.data_centre, data_centre_id("b"));
}

// Guards against starts in a data centre that operators have taken out of
// service (invariant I5).
TEST(routing, never_chooses_a_data_centre_out_of_service)
{
    auto out_of_service = make("a", true, 9, 0);
    out_of_service.is_in_service = false;
    auto out = choose_route({out_of_service, make("b", false, 0, 50)});
    EXPECT_EQ(out.rule, route_rule::remote_only);
    EXPECT_EQ(out.data_centre, data_centre_id("b"));
    EXPECT_EQ(choose_route({out_of_service}).rule, route_rule::no_target);
}

} // namespace cowslippass
