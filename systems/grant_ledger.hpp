#pragma once

#include "core/core.hpp"
#include "systems/grant_policy.hpp"
#include "systems/team_grants.hpp"
#include "systems/timing.hpp"
#include "systems/token_bucket.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cowslippass
{

struct grant_settings
{
    /// The cap for waiting peers already leaves room for them. Smaller steps
    /// on top of it cost more writes and conflicts (`grant_growth_test`).
    growth_policy growth = growth_policy::all_wanted;
    /// Grants that were idle for this long are returned.
    milliseconds idle_timeout{5000};
    /// Least time between two transfers of one team by this session.
    milliseconds min_transfer_interval{50};
    /// A row that was seen longer ago is read again before it is written:
    /// a read costs the platform less than a conflict.
    milliseconds max_row_age{60};
    /// Bound of the first random delay after a conflict; it doubles with
    /// each further conflict, at most four times.
    milliseconds backoff{20};
    /// With 60 entries the fleet writes at most 240 grants rows a second,
    /// which leaves half of the platform's writes to claims and jobs.
    double writes_per_second = 4;
    double write_burst = 24;
    /// With 60 entries at most 600 of the platform's 2,000 reads a second.
    double reads_per_second = 10;
    double read_burst = 80;
    /// A session that wants to grow and finds nothing free reads again.
    milliseconds reread_interval{500};
    /// Longer than two summaries from another data centre, 2 s apart.
    milliseconds peer_waiting_lifetime{5000};
};

/// A transaction to send, and the id for `on_result`.
struct grant_transfer
{
    std::uint64_t id;
    team_id team;
    transaction request;
};

/// Grants of one session: how many tasks of each team it may run. The sum
/// over the sessions never exceeds the team's fleet-wide limit (I4).
///
/// The caller starts a task only after `try_acquire`, and only while its fleet
/// log is fresh. A transaction must be sent at most once: a second sending
/// could report a conflict with the first.
class grant_ledger
{
public:
    explicit grant_ledger(session_id own, grant_settings settings = {});

    /// Reserves a grant for a task, before its start is sent.
    /// @return false when the session has no grant left to use.
    bool try_acquire(const team_id& team);

    /// The end of a task is known, or that it will never start.
    void give_back(const team_id& team);

    /// The fleet log holds this limit. Called for each team record that is
    /// applied, and for every team after a snapshot was loaded. No task
    /// starts until the row was read at this version or later.
    void on_limit(
        const team_id& team, task_count limit, config_version version);

    /// `config/head` has the row version `head` while it holds `version`;
    /// called after the log up to `version` was applied.
    void on_config_head(config_version version, row_version head);

    /// @param value the row as read; version 0 and no value when absent.
    /// @param read_at_version version in hand when the read was sent.
    void on_row(
        const team_id& team, const row& value, config_version read_at_version);

    /// A read that `plan_reads` asked for got no answer.
    void on_read_failed(const team_id& team);

    /// @param count tasks that could start now if grants were there.
    void set_waiting(const team_id& team, task_count count);

    void on_peer_waiting(session_id peer, const team_id& team, task_count count,
        monotonic_time now);

    /// @return teams whose row has to be read now.
    std::vector<team_id> plan_reads(monotonic_time now);

    /// Has the row read at the next `plan_reads`.
    void request_read(const team_id& team);

    /// @return the growth and the returns that are due, one transaction for
    ///   each team: the platform's budget counts row writes, so that sharing
    ///   saves nothing, and a conflict of one team would fail the others.
    std::vector<grant_transfer> plan_transfers(monotonic_time now);

    /// Moves grants of a dead session to the own one, together with tasks
    /// that run. On success the adopted tasks count as in use. The tasks must
    /// have been seen running after `get_adoption_time`: before it, the
    /// session may still end tasks and start others with the same grants.
    /// @param ended_observed when the commit of `session_ended` was known.
    /// @return nothing before `get_adoption_time`, while the row is unknown
    ///   or another transfer is open, or when the dead session has fewer
    ///   grants than `count`.
    std::optional<grant_transfer> plan_adoption(session_id dead,
        const team_id& team, task_count count, monotonic_time ended_observed,
        monotonic_time now);

    /// @return time from which a dead session starts nothing more.
    static monotonic_time get_adoption_time(monotonic_time ended_observed);

    /// @return time from which no task of a dead session can run, unless
    ///   another session adopted it.
    /// @param ended_observed when the commit of `session_ended` was known.
    static monotonic_time get_ended_session_release_time(
        monotonic_time ended_observed);

    /// @return time after which leases of a session's tasks must not be
    ///   renewed without an adoption, by the session itself or by another:
    ///   the last lease has to lapse before the grants are released.
    /// @param fresh_as_of freshness of the renewing entry, or its last
    ///   freshness before it learned of `session_ended`; the end cannot have
    ///   been committed earlier.
    static monotonic_time get_renewal_deadline(monotonic_time fresh_as_of);

    /// Removes the grants of a dead session; for the janitor, which adds the
    /// condition on its lease.
    /// @return nothing before `get_ended_session_release_time`, while the row
    /// is
    ///   unknown or another transfer is open, or when nothing is held.
    std::optional<grant_transfer> plan_ended_session_release(session_id dead,
        const team_id& team, monotonic_time ended_observed, monotonic_time now);

    /// @param written row version after a commit; without it the row is read
    ///   again.
    void on_result(std::uint64_t id, transaction_outcome outcome,
        std::optional<row_version> written = std::nullopt);

    /// @return adoptions whose outcome is known; each is returned once.
    std::vector<adoption_outcome> take_adoption_outcomes();

    /// A growth failed although its grants row had not changed; growth waits
    /// for the next `on_config_head`.
    bool needs_config_head() const { return is_config_head_stale_; }

    /// @return tasks that the session may run now, those in use included.
    task_count get_usable(const team_id& team) const;
    task_count get_in_use(const team_id& team) const;
    /// @return what the session surely holds in the row.
    task_count get_held(const team_id& team) const;

private:
    team_grants& get_entry(const team_id& team);
    const team_grants* find(const team_id& team) const;
    std::vector<team_id> get_teams_after(const team_id& last) const;
    bool can_grow() const;
    bool is_read_due(const team_grants& entry, monotonic_time now) const;
    bool is_transfer_due(const team_grants& entry, monotonic_time now) const;
    bool is_paced(const team_grants& entry, monotonic_time now) const;
    std::uint32_t choose_held_count(
        team_grants& entry, monotonic_time now) const;
    std::uint32_t choose_count_after_return(
        team_grants& entry, monotonic_time now) const;
    grant_transfer begin_own_transfer(
        const team_id& team, team_grants& entry, std::uint32_t target);
    grant_transfer begin_transfer(const team_id& team, team_grants& entry,
        grant_row written, std::uint32_t adopted, bool is_growth);
    void record_conflict(team_grants& entry, const open_transfer& open);
    void install_row(team_grants& entry, grant_row value, row_version version,
        config_version read_at);

    session_id own_session_;
    grant_settings settings_;
    token_bucket writes_;
    token_bucket reads_;
    std::map<team_id, team_grants> teams_;
    std::map<std::uint64_t, team_id> transfers_;
    std::vector<adoption_outcome> adoptions_;
    std::uint64_t last_id_ = 0;
    team_id last_read_team_;
    team_id last_written_team_;
    config_version known_version_;
    std::optional<config_version> config_head_version_;
    row_version config_head_;
    bool is_config_head_stale_ = false;
};

} // namespace cowslippass
