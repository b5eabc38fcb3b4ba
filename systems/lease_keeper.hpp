#pragma once

#include "core/core.hpp"

#include <optional>

namespace cowslippass
{

/// Takes, renews and gives back the lease row `leases/<name>`, as transactions
/// on row versions.
///
/// Time only decides when to try. What keeps two holders apart is the
/// condition on the lease row that every write under the lease carries: the
/// version changes whenever the lease changes hands, so that a holder that was
/// paused changes nothing when it resumes.
///
/// One round is: read the row, `on_read`, `plan`, commit, `on_result`.
class lease_keeper
{
public:
    /// @param name of the row after `leases/`.
    /// @param session of this process; never reused by another.
    /// @param lease_time without a change of the row after which others may
    ///   take the lease; the same in all processes.
    lease_keeper(
        const std::string& name, session_id session, milliseconds lease_time);

    /// @param it the row, with version 0 when it is absent.
    /// @param sent before the read was sent.
    /// @param received after the answer arrived.
    /// @throws systems_error (`bad_lease_row`) for a row of another form.
    void on_read(const row& it, monotonic_time sent, monotonic_time received);

    /// Silence of the holder counts only while reads work throughout.
    void on_read_failed();

    /// @return the transaction that takes or renews the lease, if the row read
    ///   last allows it. Each read allows one transaction.
    std::optional<transaction> plan(monotonic_time now);

    /// @return the transaction that gives the lease back, or nothing when it
    ///   is not held. Afterwards the lease is not held here.
    std::optional<transaction> plan_release();

    /// Result of the last transaction of `plan`.
    /// @param version of the lease row when the transaction was committed.
    void on_result(transaction_outcome outcome, row_version version);

    /// @return whether work under the lease may go on, by the local clock. The
    ///   lease ends here before another process may take it.
    bool is_held(monotonic_time now) const;

    /// Adds the condition that every write under the lease must carry.
    /// @throws systems_error (`lease_not_held`) when the lease was never held
    ///   or was seen in other hands.
    void add_condition(transaction& tx) const;

    /// @return the number of the current holding; rises with each holder.
    fencing_token get_fencing() const { return fencing_; }

    const std::string& get_key() const { return key_; }

private:
    struct content
    {
        session_id holder; ///< 0 when the lease was given back.
        fencing_token fencing;
    };

    struct attempt
    {
        fencing_token fencing;
        row_version base; ///< Of the row that it is conditioned on.
        monotonic_time since;
    };

    static content decode(const row& it);
    transaction make_transaction(row_version version, const content& to) const;
    bool is_free(monotonic_time now) const;
    void set_held(row_version version, const attempt& by);

    std::string key_;
    session_id session_;
    milliseconds lease_time_;

    std::optional<row> read_; ///< Not yet used by a transaction.
    monotonic_time read_sent_{};
    row_version seen_{0};
    std::optional<monotonic_time> seen_since_;
    std::optional<attempt> attempt_; ///< Sent; the outcome is not known.
    row_version held_version_{0};    ///< 0 when the lease is not held.
    row_version released_{0};        ///< Version that the last release is for.
    fencing_token fencing_{0};
    monotonic_time held_until_{};
};

} // namespace cowslippass
