#include "systems/membership.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace cowslippass
{

namespace
{

monotonic_time at(int ms)
{
    return monotonic_time(milliseconds(ms));
}

/// Sessions 1 to 4 in data centre a, and so on; entry names are numbers.
std::map<session_id, session_row> make_sessions(std::uint64_t count)
{
    std::map<session_id, session_row> result;
    for (std::uint64_t n = 1; n <= count; ++n)
    {
        session_row it;
        it.id = session_id(n);
        it.started.entry = entry_id(std::to_string(n));
        it.started.data_centre = data_centre_id(
            std::string(1, static_cast<char>('a' + (n - 1) / 4)));
        result[it.id] = it;
    }
    return result;
}

membership make_member(std::uint64_t count)
{
    membership it(session_id(1), data_centre_id("a"));
    it.set_sessions(make_sessions(count), at(0));
    return it;
}

std::vector<session_id> ids(std::initializer_list<std::uint64_t> numbers)
{
    std::vector<session_id> result;
    for (auto n : numbers)
        result.emplace_back(n);
    return result;
}

} // namespace

// Guards against ownership that stays with a dead entry, and against an entry
// that suspects itself.
TEST(membership, suspects_silent_neighbours_after_two_seconds)
{
    auto it = make_member(4);
    it.note_heard(session_id(2), at(1000));
    it.note_heard(session_id(3), at(1500));
    data_centre_id a("a");
    EXPECT_EQ(it.get_live(a, at(2000)), ids({1, 2, 3, 4}));
    EXPECT_EQ(it.get_live(a, at(3200)), ids({1, 3}));
    it.note_heard(session_id(4), at(3300));
    EXPECT_EQ(it.get_live(a, at(3300)), ids({1, 3, 4}));
    it.note_refused(session_id(4), at(3300));
    EXPECT_EQ(it.get_live(a, at(3300)), ids({1, 3}));
    EXPECT_EQ(it.get_neighbours(), ids({2, 3, 4}));
}

// Guards against new work for a leaving entry, and against an entry that is
// taken for dead because the lagging list does not name it.
TEST(membership, leaving_entries_get_no_new_work)
{
    auto it = make_member(4);
    it.set_leaving({entry_id("2"), entry_id("99")});
    EXPECT_TRUE(it.is_leaving(session_id(2)));
    EXPECT_EQ(it.get_live(data_centre_id("a"), at(0)), ids({1, 3, 4}));
    it.set_leaving({});
    EXPECT_EQ(it.get_live(data_centre_id("a"), at(0)), ids({1, 2, 3, 4}));
}

// Guards against an ended session that still gets work, and against a frame
// of it that brings it back.
TEST(membership, ended_sessions_are_forgotten)
{
    auto it = make_member(4);
    auto sessions = make_sessions(4);
    sessions.erase(session_id(3));
    it.set_sessions(sessions, at(100));
    it.note_heard(session_id(3), at(200));
    EXPECT_EQ(it.get_live(data_centre_id("a"), at(200)), ids({1, 2, 4}));
    EXPECT_TRUE(it.is_suspect(session_id(3), at(200)));
}

// Guards against remote entries that are suspected although nobody talks to
// them, and against silent partners that are never replaced or tried again.
TEST(membership, silent_partners_are_replaced_and_tried_again)
{
    auto it = make_member(8);
    data_centre_id b("b");
    auto first = it.choose_partners(at(0));
    ASSERT_EQ(first.size(), 2);
    for (int ms = 0; ms <= 7000; ms += 1000)
    {
        it.note_heard(first[1], at(ms));
        it.choose_partners(at(ms));
    }
    EXPECT_TRUE(it.is_suspect(first[0], at(7000)));
    EXPECT_EQ(it.get_live(b, at(7000)).size(), 3);
    auto second = it.choose_partners(at(7000));
    EXPECT_EQ(std::count(second.begin(), second.end(), first[0]), 0);
    it.choose_partners(at(31000));
    EXPECT_FALSE(it.is_suspect(first[0], at(31000)));
}

// Guards against a remote entry that stays suspected after its restart, as
// only partners are heard of.
TEST(membership, refused_remote_entries_are_tried_again)
{
    auto it = make_member(12);
    for (std::uint64_t n = 5; n <= 8; ++n)
        it.note_refused(session_id(n), at(0));
    it.choose_partners(at(1000));
    EXPECT_TRUE(it.get_live(data_centre_id("b"), at(1000)).empty());
    it.choose_partners(at(31000));
    EXPECT_FALSE(it.get_live(data_centre_id("b"), at(31000)).empty());
}

// Guards against a data centre that stays unheard after a partition, and
// against partners in the own one.
RC_GTEST_PROP(membership, has_two_partners_in_each_other_data_centre, ())
{
    auto count = *rc::gen::inRange<std::uint64_t>(1, 24);
    auto it = make_member(count);
    auto now = at(0);
    auto steps =
        *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(0, 5000));
    for (int step : steps)
    {
        now += milliseconds(step);
        session_id peer(1 + static_cast<std::uint64_t>(step) % count);
        if (step % 3 == 0)
            it.note_heard(peer, now);
        if (step % 7 == 0)
            it.note_refused(peer, now);
        std::map<std::uint64_t, std::size_t> chosen;
        for (session_id id : it.choose_partners(now))
            ++chosen[(id.get() - 1) / 4];
        RC_ASSERT(!chosen.contains(0));
        for (std::uint64_t n = 1; n <= (count - 1) / 4; ++n)
        {
            auto there = std::min<std::uint64_t>(4, count - 4 * n);
            RC_ASSERT(chosen[n] == std::min<std::uint64_t>(2, there));
        }
    }
}

} // namespace cowslippass
