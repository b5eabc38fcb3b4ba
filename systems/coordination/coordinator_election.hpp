#pragma once

#include "systems/coordination/ledger_head.hpp"

#include <optional>

namespace cowslippass
{

/// Decides when this process may take the coordinator's place.
class coordinator_election
{
public:
    /// A coordinator that does not answer is replaced when the row has not
    /// changed for so long. It renews the row about twice as often.
    static constexpr milliseconds unchanged_head_limit{800};
    /// One that answers is replaced when, by its own word, its last
    /// transaction is this old. A slow store must not cause it.
    static constexpr milliseconds reported_silence_limit{1'200};
    /// What was read longer ago says nothing of now.
    static constexpr milliseconds max_read_age{500};
    /// A coordinator whose last transaction is older cannot reach the store.
    static constexpr milliseconds max_renewal_age{1'000};

    /// @param boot names this process; @param address is that for its peers.
    coordinator_election(std::string boot, std::string address);

    /// Lets stronger candidates go first: this one waits longer by `time`.
    void set_takeover_delay(milliseconds time) { takeover_delay_ = time; }

    /// The head row was read; nothing when it is absent.
    void record_head(const std::optional<ledger_head>& head,
        row_version version, boot_time sent_at, boot_time now);

    /// The coordinator answered a probe.
    void record_probe(milliseconds renewed_age, boot_time now);

    /// The coordinator did not answer, or the answer came from another boot.
    void record_probe_failure();

    /// Another process listens at the coordinator's address.
    void record_replacement();

    const std::optional<ledger_head>& get_head() const { return head_; }
    row_version get_version() const { return version_; }

    /// @return whether the head row has to be read to know more.
    bool needs_head_read() const { return is_holder_suspect_; }

    /// @return whether the place is free: never taken, given back, held by a
    ///   process of which another boot has taken the address, or by one that
    ///   has written nothing for too long, by its own word or by the row.
    bool may_take_over(boot_time now) const;

private:
    /// @return whether nobody holds the place, or its holder is gone for sure.
    bool is_vacant() const;

    std::string boot_;
    std::string address_;
    bool has_read_head_ = false;
    std::optional<ledger_head> head_;
    row_version version_;
    /// How long it had written nothing, by its own word at `reported_at_`.
    milliseconds reported_silence_{0};
    boot_time reported_at_{};
    boot_time version_first_seen_{}; ///< When this version was first seen.
    boot_time last_read_sent_at_{};
    milliseconds takeover_delay_{0};
    bool is_holder_replaced_ = false;
    bool is_holder_suspect_ = true;
};

} // namespace cowslippass
