#include "main/row_cleaner.hpp"

#include "systems/claim_row.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace cowslippass
{

namespace
{

constexpr std::int64_t now = 1'700'000'000'000;
constexpr milliseconds lifetime{600'000};
const std::string lease_key = "leases/janitor";

/// A table in memory whose commits and deletions can be made to fail.
class fake_table : public platform_store
{
public:
    std::map<std::string, row> rows;
    std::set<std::string> objects;
    bool commits_fail = false;
    bool deletes_fail = false;
    std::size_t highest_writes = 0;

    void put(const std::string& key, const std::string& value)
    {
        rows[key] = {key, value, row_version(++last_version_)};
    }

    asio::awaitable<transaction_result> commit(transaction tx) override
    {
        transaction_result out;
        if (commits_fail)
            co_return out;
        out.outcome = transaction_outcome::conflict;
        for (const auto& it : tx.conditions)
            if (!rows.contains(it.key) || rows[it.key].version != it.version)
                co_return out;
        for (const auto& it : tx.writes)
            rows.erase(it.key);
        highest_writes = std::max(highest_writes, tx.writes.size());
        out.outcome = transaction_outcome::committed;
        co_return out;
    }
    asio::awaitable<std::optional<row>> read(std::string) override
    {
        co_return std::nullopt;
    }
    asio::awaitable<std::optional<scan_result>> scan(
        std::string prefix, std::string after, std::size_t limit) override
    {
        scan_result out;
        for (const auto& [key, it] : rows)
        {
            if (!key.starts_with(prefix) || key <= after)
                continue;
            out.has_more = out.rows.size() == limit;
            if (out.has_more)
                break;
            out.rows.push_back(it);
        }
        co_return out;
    }
    asio::awaitable<bool> put_object(std::string name, std::string) override
    {
        objects.insert(name);
        co_return true;
    }
    asio::awaitable<std::optional<std::string>> get_object(
        std::string name) override
    {
        if (!objects.contains(name))
            co_return std::nullopt;
        co_return name;
    }
    asio::awaitable<bool> delete_object(std::string name) override
    {
        if (!deletes_fail)
            objects.erase(name);
        co_return !deletes_fail;
    }
    platform_time get_time() const override { return platform_time(now); }
    asio::awaitable<std::optional<std::vector<instance_id>>>
    list_leaving_instances() override
    {
        co_return std::nullopt;
    }

private:
    std::uint64_t last_version_ = 0;
};

class row_cleaner_fixture : public testing::Test
{
protected:
    static constexpr std::size_t claim_count = 30;

    row_cleaner_fixture()
    {
        table.put(lease_key, "{}");
        for (std::size_t i = 0; i < claim_count; ++i)
        {
            claim_row it;
            it.session = session_id(1);
            it.task = task_id("1-pool-" + std::to_string(i));
            it.claimed_at = platform_time(now - 700'000);
            table.put("claims/t/" + std::to_string(i), it.encode());
            // Every third claim has not ended.
            if (i % 3 != 0)
                table.objects.insert(it.get_result_name());
        }
    }

    row_cleaner make_cleaner()
    {
        row_version lease = table.rows[lease_key].version;
        auto fence = [lease] {
            return std::optional(row_condition{lease_key, lease});
        };
        return {table, {lifetime, lifetime, 7}, fence,
            [](session_id) { return false; }};
    }

    std::size_t step(row_cleaner& cleaner)
    {
        asio::io_context io;
        std::size_t removed = 0;
        auto body = [&]() -> asio::awaitable<void>
        { removed = co_await cleaner.step(); };
        asio::co_spawn(io, body, asio::detached);
        io.run();
        return removed;
    }

    /// Steps until nothing is left to do, and checks what remains.
    void finish(row_cleaner& cleaner)
    {
        for (std::size_t i = 0; i < claim_count; ++i)
            step(cleaner);
        EXPECT_EQ(table.rows.size(), 1 + claim_count / 3);
        EXPECT_TRUE(table.objects.empty());
        for (std::size_t i = 0; i < claim_count; i += 3)
            EXPECT_TRUE(table.rows.contains("claims/t/" + std::to_string(i)));
    }

    fake_table table;
};

} // namespace

// Guards against a clean-up that takes the write budget of requests: 7 writes
// are 3 claims with their objects.
TEST_F(row_cleaner_fixture, a_step_stays_within_its_writes)
{
    auto cleaner = make_cleaner();
    EXPECT_EQ(step(cleaner), 3u);
    finish(cleaner);
    EXPECT_EQ(table.highest_writes, 3u);
}

// Guards against rows or objects that stay for ever after a clean-up that was
// cut short between its deletions and its commit. A claim whose result is
// deleted already stays until its session has ended.
TEST_F(row_cleaner_fixture, an_aborted_step_removes_no_row)
{
    auto first = make_cleaner();
    table.deletes_fail = true;
    EXPECT_EQ(step(first), 0u);
    EXPECT_EQ(table.rows.size(), 1 + claim_count);
    table.deletes_fail = false;
    auto second = make_cleaner();
    finish(second);
}

TEST_F(row_cleaner_fixture, a_lost_commit_is_made_up_when_the_session_ends)
{
    auto first = make_cleaner();
    table.commits_fail = true;
    EXPECT_EQ(step(first), 0u);
    EXPECT_EQ(table.rows.size(), 1 + claim_count);
    table.commits_fail = false;
    row_version lease = table.rows[lease_key].version;
    auto fence = [lease] {
        return std::optional(row_condition{lease_key, lease});
    };
    row_cleaner later(table, {lifetime, lifetime, 200}, fence,
        [](session_id) { return true; });
    EXPECT_EQ(step(later), claim_count);
    EXPECT_TRUE(table.objects.empty());
}

// Guards against a janitor that was paused and goes on beside its successor.
TEST_F(row_cleaner_fixture, a_cleaner_without_the_lease_removes_no_row)
{
    auto former = make_cleaner();
    table.put(lease_key, "{}");
    auto present = make_cleaner();
    EXPECT_EQ(step(former), 0u);
    EXPECT_EQ(table.rows.size(), 1 + claim_count);
    EXPECT_GT(step(present), 0u);
    EXPECT_EQ(step(former), 0u);
}

} // namespace cowslippass
