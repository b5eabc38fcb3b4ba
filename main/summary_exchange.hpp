#pragma once

#include "drivers/peer_message.hpp"

#include <functional>
#include <map>
#include <optional>

namespace cowslippass
{

/// The newest summary of each peer. Lists that a peer holds already are left
/// out of what it is sent: between idle entries they do not change.
///
/// Each message states the revision of the sender's lists and the one that
/// the sender holds of the receiver's. A receiver that does not hold the
/// stated revision drops what it holds and is sent all lists the next time.
class summary_exchange
{
public:
    /// Numbers the lists of an own summary, and removes them when the reader
    /// holds them.
    /// @param is_local kind of the reader; the kinds get different lists.
    void prepare(session_id reader, bool is_local, peer_summary& own);

    /// Stores a peer's summary, with the lists that it left out.
    void accept(peer_summary received);

    /// @return the newest summary, or null.
    const peer_summary* find(session_id peer) const;

    std::vector<peer_summary> list() const;

    /// Forgets peers for which the function returns true.
    void erase_if(const std::function<bool(session_id)>& is_gone);

private:
    struct numbered_lists
    {
        std::uint32_t revision = 0;
        peer_summary content; ///< Only its lists count.
    };

    std::uint32_t number(bool is_local, const peer_summary& own);

    std::map<session_id, peer_summary> held_;
    numbered_lists own_lists_[2]; ///< For remote and for local readers.
    std::uint32_t last_revision_ = 0;
};

} // namespace cowslippass
