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

/// Rates, intervals and growth strategy of a `grant_ledger`.
struct grant_settings
{
    /// `choose_grant_cap` already leaves grants for peers with waiting work.
    /// Smaller growth steps on top of that cap cost more writes and conflicts
    /// (`grant_growth_test`).
    growth_policy growth = growth_policy::all_wanted;
    /// Grants that have been unused for this long are returned to the limit.
    milliseconds idle_timeout{5000};
    /// Minimum time between two transfers of one team by this session.
    milliseconds min_transfer_interval{50};
    /// A cached row that is older is read again before it is written, because
    /// a read costs the platform less than a conflict.
    milliseconds max_row_age{60};
    /// Upper bound of the random back-off after the first conflict. The bound
    /// doubles with each further conflict, at most four times.
    milliseconds backoff{20};
    /// With 60 entries the fleet writes at most 240 grants rows per second,
    /// which leaves half of the platform's writes for claims and jobs.
    double writes_per_second = 4;
    double write_burst = 24;
    /// With 60 entries the fleet uses at most 600 of the platform's 2,000
    /// reads per second.
    double reads_per_second = 10;
    double read_burst = 80;
    /// A session that needs more grants and finds none free reads the row
    /// again after this interval.
    milliseconds reread_interval{500};
    /// Waiting work that a peer reported is discarded after this time. It is
    /// longer than two summary intervals of another data centre (2 s each).
    milliseconds peer_waiting_lifetime{5000};
};

/// A transaction to send; its outcome is passed to `on_result` with `id`.
struct grant_transfer
{
    std::uint64_t id;
    team_id team;
    transaction request;
};

/// Tracks how many tasks of each team one session may run (its grants), and
/// plans the transactions that change them. The grants of all sessions never
/// add up to more than the team's fleet-wide limit (invariant I4). A transfer
/// is a transaction on the grants row of a team: it acquires grants of the
/// limit (a growth), returns some, or moves or removes those of an ended
/// session.
///
/// The caller starts a task only after `try_acquire`, and only while its copy
/// of the fleet log is fresh. It must send each transaction at most once, as a
/// second transmission could report a conflict with the first.
class grant_ledger
{
public:
    explicit grant_ledger(session_id own, grant_settings settings = {});

    /// Acquires a grant for a task. Call before the start request is sent.
    /// @return false when the session has no grant left to use.
    bool try_acquire(const team_id& team);

    /// Releases the grant of a task that has ended or will never start.
    /// @throws systems_error (`grant_not_in_use`) when no grant of the team is
    ///   in use.
    void give_back(const team_id& team);

    /// Applies a limit from the fleet log. Call it for each team record that is
    /// applied, and for every team after a snapshot has been loaded. No task
    /// starts until the grants row has been read at this version or later.
    void on_limit(
        const team_id& team, task_count limit, config_version version);

    /// Records that the row `config/head` holds `version` at row version
    /// `head`. Call it after the log has been applied up to `version`.
    void on_config_head(config_version version, row_version head);

    /// Applies the reply to a read of the team's grants row.
    /// @param value the row as read; version 0 and no value when it is absent.
    /// @param read_at_version version of the fleet log that had been applied
    ///   when the read was sent.
    void on_row(
        const team_id& team, const row& value, config_version read_at_version);

    /// Schedules another read after one from `plan_reads` got no reply.
    void on_read_failed(const team_id& team);

    /// @param count tasks that could start now if they had grants.
    void set_waiting(const team_id& team, task_count count);

    void on_peer_waiting(session_id peer, const team_id& team, task_count count,
        monotonic_time now);

    /// @return teams whose grants row has to be read now.
    std::vector<team_id> plan_reads(monotonic_time now);

    /// Makes the next `plan_reads` include the team.
    void request_read(const team_id& team);

    /// Plans the acquisition and the return of grants that are due.
    /// @return one transaction per team. The platform limits row writes, so a
    ///   shared transaction would save nothing, and a conflict of one team
    ///   would fail the others.
    std::vector<grant_transfer> plan_transfers(monotonic_time now);

    /// Moves grants of an ended session to this session, together with the
    /// running tasks that use them. On success the adopted tasks count as in
    /// use. The tasks must have been observed running after
    /// `get_adoption_time`; before that, the ended session may still end tasks
    /// and start others with the same grants.
    /// @param ended the ended session.
    /// @param ended_observed when this entry learned that `session_ended` had
    ///   been committed.
    /// @return nothing before `get_adoption_time`, while the row is unknown
    ///   or another transfer is open, or when the ended session holds fewer
    ///   grants than `count`.
    std::optional<grant_transfer> plan_adoption(session_id ended,
        const team_id& team, task_count count, monotonic_time ended_observed,
        monotonic_time now);

    /// @return time from which an ended session starts no more tasks.
    static monotonic_time get_adoption_time(monotonic_time ended_observed);

    /// @return time from which no task of an ended session can run, unless
    ///   another session has adopted it.
    /// @param ended_observed when this entry learned that `session_ended` had
    ///   been committed.
    static monotonic_time get_ended_session_release_time(
        monotonic_time ended_observed);

    /// @return time after which no entry, not even the one that started a
    ///   session's tasks, may renew their leases without an adoption: the last
    ///   lease has to lapse before the session's grants are released.
    /// @param fresh_as_of when the renewing entry last knew its configuration
    ///   to be the newest; if it has learned of `session_ended`, the last such
    ///   time before that. The end cannot have been committed earlier.
    static monotonic_time get_renewal_deadline(monotonic_time fresh_as_of);

    /// Plans the removal of an ended session's grants. The caller adds the
    /// condition that it still holds the clean-up lease.
    /// @return nothing before `get_ended_session_release_time`, while the row
    ///   is unknown or another transfer is open, or when the session holds no
    ///   grants.
    std::optional<grant_transfer> plan_ended_session_release(session_id ended,
        const team_id& team, monotonic_time ended_observed, monotonic_time now);

    /// Applies the outcome of a transaction.
    /// @param written row version after a commit; without it the row is read
    ///   again.
    void on_result(std::uint64_t id, transaction_outcome outcome,
        std::optional<row_version> written = std::nullopt);

    /// @return adoptions whose outcome has become known; each is returned once.
    std::vector<adoption_outcome> take_adoption_outcomes();

    /// @return whether a growth conflicted although its grants row had not
    ///   changed. Growth then waits for the next `on_config_head`.
    bool needs_config_head() const { return is_config_head_stale_; }

    /// @return tasks that the session may run now, including those that run.
    task_count get_usable(const team_id& team) const;
    task_count get_in_use(const team_id& team) const;
    /// @return grants that the session certainly holds in the row.
    task_count get_held(const team_id& team) const;

private:
    team_grants& get_grants(const team_id& team);
    const team_grants* find(const team_id& team) const;
    /// @return all teams in order of id, beginning after `last`.
    std::vector<team_id> get_teams_after(const team_id& last) const;
    /// @return whether the newest known `config/head` may condition a growth.
    bool can_grow() const;
    bool is_read_due(const team_grants& grants, monotonic_time now) const;
    bool is_transfer_due(const team_grants& grants, monotonic_time now) const;
    /// @return whether the last transfer of the team was too recent.
    bool is_transfer_delayed(
        const team_grants& grants, monotonic_time now) const;
    /// @return grants that this session should hold now.
    std::uint32_t choose_held_count(
        team_grants& grants, monotonic_time now) const;
    /// @return grants to keep when fewer are needed than held.
    std::uint32_t choose_count_after_return(
        team_grants& grants, monotonic_time now) const;
    /// Opens a transfer that sets the grants of this session to `new_count`.
    grant_transfer begin_own_transfer(
        const team_id& team, team_grants& grants, std::uint32_t new_count);
    /// Opens a transfer that writes the row `written`.
    grant_transfer begin_transfer(const team_id& team, team_grants& grants,
        grant_row written, std::uint32_t adopted, bool is_growth);
    /// Chooses the back-off and schedules a read after a conflict.
    void record_conflict(team_grants& grants, const open_transfer& open);
    /// Replaces the cached row and determines the outcome of open transfers.
    void install_row(team_grants& grants, grant_row value, row_version version,
        config_version read_at);

    session_id own_session_;
    grant_settings settings_;
    token_bucket writes_;
    token_bucket reads_;
    std::map<team_id, team_grants> teams_;
    std::map<std::uint64_t, team_id> transfers_; ///< Open ones, by id.
    std::vector<adoption_outcome> adoptions_;
    std::uint64_t last_id_ = 0;
    team_id last_read_team_;
    team_id last_written_team_;
    config_version known_version_; ///< Newest version of limit or head.
    /// Content and row version of `config/head` as last reported.
    std::optional<config_version> config_head_version_;
    row_version config_head_;
    bool is_config_head_stale_ = false;
};

} // namespace cowslippass
