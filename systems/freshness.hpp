#pragma once

#include "core/core.hpp"
#include "systems/timing.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace cowslippass
{

/// Knows up to which local time the fleet log version in hand was the newest.
///
/// `fresh_as_of` is a time such that every change committed before it is in
/// hand. It never moves back. An entry that is not fresh starts no work.
class freshness
{
public:
    enum class verdict
    {
        confirmed, ///< `fresh_as_of` covers the confirmed time.
        behind,    ///< A higher version exists; the caller catches up.
        ignored    ///< An older version, or a round that is not open.
    };

    explicit freshness(milliseconds limit = freshness_limit) : limit_(limit) {}

    /// Raises the version in hand. A confirmation of this version that came
    /// before the log entry did counts from now on. A lower version is
    /// ignored.
    void note_version(config_version version);

    /// Source (a): a read of `config/head`, or an append that committed.
    /// @param sent time just before the request was sent.
    verdict note_head_read(monotonic_time sent, config_version version);

    /// Source (b): the reply of a peer.
    /// @param asked time just before the peer was asked.
    /// @param age age of the peer's own freshness when it replied.
    verdict note_peer(
        monotonic_time asked, milliseconds age, config_version version);

    /// Source (c): opens a round and ends the one before.
    /// @param sessions every live session of the state at the version in
    ///   hand, with the own one. Dead members must not be left out: one may
    ///   have committed a change before it died.
    /// @return number of the round, for `on_agreement_answer`.
    std::uint64_t begin_agreement_round(
        monotonic_time now, const std::vector<session_id>& sessions);

    /// Takes the answer of one member, the own one included. The answer must
    /// have been made after the round began. The round confirms the version
    /// in hand once all members agreed; an answer that disagrees ends it.
    /// @param has_unresolved_change the member sent a change to the platform
    ///   and does not know its outcome. A change that a read does not find
    ///   stays unresolved until `config/head` has moved past the version of
    ///   its condition, as its request may still arrive.
    verdict on_agreement_answer(std::uint64_t round, session_id session,
        config_version version, bool is_platform_reachable,
        bool has_unresolved_change);

    config_version get_version() const { return version_; }

    /// @return the highest version heard of; above `get_version()` while the
    ///   caller has to catch up.
    config_version get_highest_version() const { return highest_; }

    /// @return nothing before the first confirmation.
    std::optional<monotonic_time> get_fresh_as_of() const
    {
        return fresh_as_of_;
    }

    /// @return age to state to peers, or nothing before the first
    ///   confirmation. Rounded up, as a lower age would be untrue.
    std::optional<milliseconds> get_age(monotonic_time now) const;

    bool is_fresh(monotonic_time now) const;

    /// @return `fresh_as_of` plus the limit, or the clock's epoch before the
    ///   first confirmation.
    monotonic_time get_deadline() const;

private:
    verdict confirm(monotonic_time at, config_version version);
    void advance(monotonic_time at);

    struct confirmation
    {
        monotonic_time at;
        config_version version;
    };

    struct agreement_round
    {
        monotonic_time began;
        config_version version;
        std::set<session_id> missing;
    };

    milliseconds limit_;
    config_version version_{0};
    config_version highest_{0};
    std::optional<monotonic_time> fresh_as_of_;
    std::optional<confirmation> pending_;
    std::uint64_t round_number_ = 0;
    std::optional<agreement_round> round_;
};

} // namespace cowslippass
