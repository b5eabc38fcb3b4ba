#include "drivers/connection_table.hpp"

#include <iterator>
#include <utility>

namespace cowslippass
{

std::optional<connection_table::slot> connection_table::add(
    std::function<void()> close)
{
    if (count_open() >= limits_.max_connections)
    {
        auto& victims = idle_.empty() ? waiting_ : idle_;
        if (victims.empty())
            return std::nullopt;
        this->close(victims.begin());
    }
    idle_.emplace_back().close = std::move(close);
    return std::prev(idle_.end());
}

void connection_table::remove(slot it)
{
    if (it->is_closed)
    {
        closed_.erase(it);
        return;
    }
    bytes_ -= it->bytes;
    get_list(it->phase).erase(it);
}

void connection_table::enter(slot it, connection_phase phase)
{
    if (it->is_closed)
        return;
    auto& from = get_list(it->phase);
    auto& to = get_list(phase);
    to.splice(to.end(), from, it);
    it->phase = phase;
}

bool connection_table::hold(slot it, std::size_t bytes)
{
    if (it->is_closed)
        return true;
    bytes_ += bytes - it->bytes;
    it->bytes = bytes;
    while (bytes_ > limits_.max_bytes && !waiting_.empty())
        close(waiting_.begin());
    return bytes_ <= limits_.max_bytes;
}

void connection_table::close_idle()
{
    while (!idle_.empty())
        close(idle_.begin());
}

std::size_t connection_table::count_open() const
{
    return idle_.size() + waiting_.size() + handling_.size();
}

std::list<connection_table::entry>& connection_table::get_list(
    connection_phase phase)
{
    if (phase == connection_phase::idle)
        return idle_;
    return phase == connection_phase::handling ? handling_ : waiting_;
}

void connection_table::close(slot it)
{
    closed_.splice(closed_.end(), get_list(it->phase), it);
    bytes_ -= it->bytes;
    it->is_closed = true;
    // The call may remove the entry.
    auto close = std::move(it->close);
    close();
}

} // namespace cowslippass
