/// Example of a program that embeds `grant_ledger` without the daemon: two
/// sessions in one process share a team's limit of 3 tasks through a table in
/// memory.

#include <systems/systems.hpp>

#include <iostream>
#include <map>

using namespace cowslippass;

namespace
{

/// Table in memory with row versions and conditional commits, which is all that
/// grant transfers require. A removed row is kept with an empty value.
class map_table
{
public:
    row read(const std::string& key) const
    {
        auto it = rows_.find(key);
        return it == rows_.end() ? row{key, {}, row_version(0)} : it->second;
    }

    bool commit(const transaction& tx)
    {
        for (const auto& it : tx.conditions)
            if (read(it.key).version != it.version)
                return false;
        for (const auto& it : tx.writes)
            rows_[it.key] = {
                it.key, it.value.value_or(""), row_version(++last_version_)};
        return true;
    }

private:
    std::map<std::string, row> rows_;
    std::uint64_t last_version_ = 0;
};

/// Performs the reads and the transfers that one session has due at `now`.
/// @param version version of the fleet log that has been applied.
void run_round(grant_ledger& ledger, map_table& table, config_version version,
    monotonic_time now)
{
    for (const auto& team : ledger.plan_reads(now))
        ledger.on_row(team, table.read(grant_row::get_key(team)), version);
    for (const auto& it : ledger.plan_transfers(now))
    {
        bool is_committed = table.commit(it.request);
        ledger.on_result(it.id, is_committed ? transaction_outcome::committed
                                             : transaction_outcome::conflict);
    }
}

} // namespace

int main()
{
    const team_id team("packing");
    const config_version version(1);
    map_table table;
    transaction create_head;
    create_head.writes.push_back({fleet_head_key, "{\"version\":1}"});
    table.commit(create_head);
    row_version head_row_version = table.read(fleet_head_key).version;

    grant_ledger first(session_id(1));
    grant_ledger second(session_id(2));
    auto now = std::chrono::steady_clock::now();
    for (grant_ledger* it : {&first, &second})
    {
        it->on_limit(team, task_count(3), version);
        it->on_config_head(version, head_row_version);
        it->set_waiting(team, task_count(2));
    }
    constexpr int rounds = 40;
    for (int i = 0; i < rounds; ++i)
    {
        now += milliseconds(100);
        run_round(first, table, version, now);
        run_round(second, table, version, now);
    }
    int started = 0;
    for (grant_ledger* it : {&first, &second})
        for (int i = 0; i < 2; ++i)
            started += it->try_acquire(team);
    std::cout << "of 4 tasks that wait, " << started
              << " may start under the limit of 3\n";
    return started <= 3 && started > 0 ? 0 : 1;
}
