#pragma once

#include "systems/coordination/ledger_head.hpp"

#include <optional>

namespace cowslippass
{

/// Decides when this process may take over the coordinator role. It judges the
/// holder by the head row of the ledger and by replies to its own probes.
class coordinator_election
{
public:
    /// A coordinator that does not reply to probes is replaced when the head
    /// row has not changed for this long. It renews the row about twice as
    /// often.
    static constexpr milliseconds unchanged_head_limit{800};
    /// A coordinator that replies to probes is replaced when it reports that
    /// its last transaction is this old. A slow store must not cause this.
    static constexpr milliseconds reported_silence_limit{1'200};
    /// A read of the head row or a reply that is older than this is ignored.
    static constexpr milliseconds max_read_age{500};
    /// A coordinator whose last transaction is older than this is suspected,
    /// because it cannot reach the store.
    static constexpr milliseconds max_renewal_age{1'000};

    /// @param boot boot id of this process.
    /// @param address IP:port at which its peers reach it.
    coordinator_election(std::string boot, std::string address);

    /// Makes this candidate wait longer, so that candidates with a larger
    /// processor share take over first.
    /// @param time added to each waiting time.
    void set_takeover_delay(milliseconds time) { takeover_delay_ = time; }

    /// Records a read of the head row.
    /// @param head nothing when the row is absent.
    /// @param sent_at when the read was sent to the store.
    void record_head(const std::optional<ledger_head>& head,
        row_version version, boot_time sent_at, boot_time now);

    /// Records that the coordinator replied to a probe.
    /// @param renewed_age age of its last transaction, as it reports it.
    void record_probe(milliseconds renewed_age, boot_time now);

    /// Records that the coordinator did not reply to a probe, or that the reply
    /// did not confirm it as the coordinator.
    void record_probe_failure();

    /// Records that another process listens at the coordinator's address: the
    /// reply to a probe came from another boot.
    void record_replacement();

    const std::optional<ledger_head>& get_head() const { return head_; }
    row_version get_version() const { return version_; }

    /// @return whether the coordinator is suspected to have failed, so that the
    ///   head row has to be read.
    bool needs_head_read() const { return is_holder_suspect_; }

    /// @return whether the coordinator role is free: nobody ever held it, the
    ///   holder released it, another boot has taken the holder's address, or
    ///   the holder has written nothing for too long, according to its own
    ///   report or to the head row.
    bool may_take_over(boot_time now) const;

private:
    /// @return whether nobody holds the role, or the holder has certainly
    ///   ended.
    bool is_vacant() const;

    std::string boot_;
    std::string address_;
    bool has_read_head_ = false;
    std::optional<ledger_head> head_;
    row_version version_;
    /// Age of the holder's last transaction, as it reported it at
    /// `reported_at_`.
    milliseconds reported_silence_{0};
    boot_time reported_at_{};
    boot_time version_first_seen_{}; ///< When `version_` was first read.
    boot_time last_read_sent_at_{};
    milliseconds takeover_delay_{0};
    bool is_holder_replaced_ = false;
    bool is_holder_suspect_ = true;
};

} // namespace cowslippass
