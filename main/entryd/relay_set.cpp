#include "main/entryd/relay_set.hpp"

#include "drivers/endpoint.hpp"
#include "drivers/log.hpp"

namespace cowslippass
{

relay_set::relay_set(asio::io_context& io, const task_supervisor& tasks,
    const tcp::endpoint& own)
    : io_(io), tasks_(tasks), own_(own), table_(relay_options{}),
      self_(std::make_shared<relay_set*>(this))
{
}

relay_set::~relay_set()
{
    self_.reset();
    close();
}

void relay_set::close()
{
    for (const auto& [address, it] : clients_)
        it->close();
    clients_.clear();
}

void relay_set::record_contact(const peer_coordinator_call& probe)
{
    if (probe.address.empty())
        return;
    if (probe.is_leaving)
    {
        table_.remove(probe.address);
        return;
    }
    try
    {
        if (parse_endpoint(probe.address) == own_)
            return;
    }
    catch (const platform_error&)
    {
        return;
    }
    table_.record_contact(
        {probe.entry, probe.address, probe.data_centre, probe.processor_share},
        boot_clock::now());
}

void relay_set::update(const std::map<data_centre_id, std::size_t>& targets)
{
    table_.select(targets, boot_clock::now());
    std::erase_if(clients_,
        [&](const auto& it)
        {
            bool is_unused = !table_.is_selected(it.first);
            if (is_unused)
                it.second->close();
            return is_unused;
        });
    for (const relay_info& it : table_.list_selected())
    {
        if (clients_.contains(it.address))
            continue;
        std::weak_ptr<relay_set*> owner = self_;
        auto on_lost = [owner](const relay_client& relay)
        {
            if (auto set = owner.lock())
                (*set)->handle_loss(relay);
        };
        auto client =
            std::make_shared<relay_client>(io_, it, own_.address(), on_lost);
        clients_[it.address] = client;
        client->start(tasks_);
        write_log(log_level::info, "relays", "a relay is used",
            {{"entry", it.entry}, {"address", it.address},
                {"data_centre", it.data_centre}});
    }
}

void relay_set::handle_loss(const relay_client& relay)
{
    std::string address = relay.get_info().address;
    if (relay.is_leaving())
        table_.remove(address);
    else
        table_.record_loss(address, boot_clock::now());
    clients_.erase(address);
}

std::shared_ptr<relay_client> relay_set::choose(
    const target_id& target, const data_centre_id& data_centre) const
{
    const relay_info* info = table_.choose(target, data_centre);
    if (!info)
        return nullptr;
    auto it = clients_.find(info->address);
    return it != clients_.end() && it->second->is_ready() ? it->second
                                                          : nullptr;
}

std::size_t relay_set::count_ready() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        clients_, [](const auto& it) { return it.second->is_ready(); }));
}

} // namespace cowslippass
