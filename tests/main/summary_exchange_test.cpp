#include "main/summary_exchange.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cowslippass
{

namespace
{

struct side
{
    explicit side(std::uint64_t number) : session(number) {}

    peer_summary make(const side& reader, bool is_local = true)
    {
        peer_summary out;
        out.session = session;
        out.instance_list_age = milliseconds(5);
        if (waiting > 0)
            out.pools.push_back({pool_id("pool-1"), 1, waiting, 1});
        out.leaving.assign(waiting, instance_id("leaving"));
        exchange.prepare(reader.session, is_local, out);
        return out;
    }

    session_id session;
    std::uint32_t waiting = 0; ///< Stands for the contents of all lists.
    summary_exchange exchange;
};

/// Checks that the lists held of the sender are those of its message.
void deliver(const peer_summary& message, std::uint32_t waiting, side& to)
{
    to.exchange.accept(message);
    const peer_summary* held = to.exchange.find(message.session);
    RC_ASSERT(held != nullptr);
    RC_ASSERT(held->leaving.size() == (held->revision == 0 ? 0 : waiting));
    RC_ASSERT(held->pools.empty() == held->leaving.empty());
    // Without its lists an instance list must not look free of leaving ones.
    RC_ASSERT(held->instance_list_age.has_value() == (held->revision != 0));
}

void exchange(side& asker, side& other, bool loses_request, bool loses_reply)
{
    auto request = asker.make(other);
    if (loses_request)
        return;
    deliver(request, asker.waiting, other);
    auto reply = other.make(asker);
    if (!loses_reply)
        deliver(reply, other.waiting, asker);
}

} // namespace

// Guards against decisions on lists of a peer that it does not have any more,
// after lost requests and replies.
RC_GTEST_PROP(summary_exchange, lists_left_out_are_those_that_are_held, ())
{
    side sides[2]{side(1), side(2)};
    auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::inRange<std::uint32_t>(0, 64));
    for (std::uint32_t step : steps)
    {
        side& from = sides[step & 1];
        from.waiting = (step >> 1) % 4;
        exchange(
            from, sides[1 - (step & 1)], (step & 8) != 0, (step & 48) == 48);
    }
    for (int i = 0; i < 2; ++i)
        exchange(sides[0], sides[1], false, false);
    for (int i = 0; i < 2; ++i)
    {
        auto* held = sides[i].exchange.find(sides[1 - i].session);
        RC_ASSERT(held->leaving.size() == sides[1 - i].waiting);
        RC_ASSERT(held->revision != 0);
    }
}

// Guards against lists that are sent although nothing has changed; they were
// most of the traffic between idle entries.
TEST(summary_exchange, unchanged_lists_are_sent_once)
{
    side a(1);
    side b(2);
    a.waiting = b.waiting = 3;
    exchange(a, b, false, false);
    exchange(a, b, false, false);
    EXPECT_FALSE(a.make(b).has_lists);
    EXPECT_TRUE(a.make(b).pools.empty());
    EXPECT_FALSE(b.make(a).has_lists);
    a.waiting = 1;
    EXPECT_TRUE(a.make(b).has_lists);
}

// Guards against the lists of one kind of reader standing for those of the
// other, when a reader's data centre becomes known late.
TEST(summary_exchange, a_reader_that_changes_its_kind_gets_the_other_lists)
{
    side a(1);
    side b(2);
    a.waiting = 1;
    b.exchange.accept(a.make(b, false));
    a.exchange.accept(b.make(a));
    a.waiting = 2;
    EXPECT_TRUE(a.make(b, true).has_lists);
}

} // namespace cowslippass
