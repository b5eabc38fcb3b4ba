#include "tests/integration/cluster.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <stdexcept>

namespace cowslippass
{

using json = nlohmann::json;

namespace
{

std::string make_listen_flag(const tcp::endpoint& endpoint)
{
    return "--listen=" + format_endpoint(endpoint);
}

template <class Items>
auto& find_by_id(Items& items, const std::string& id)
{
    for (auto& it : items)
        if (it.id == id)
            return it;
    throw std::out_of_range("the cluster has no '" + id + "'");
}

} // namespace

cluster_proxy::cluster_proxy(const tcp::endpoint& to)
    : process("tests/stand_in_proxy", {"--to=" + format_endpoint(to)}, 2),
      endpoint(process.get_address("listening")),
      control_endpoint(process.get_address("control"))
{
}

void cluster_proxy::control(const json& faults) const
{
    set_control(control_endpoint, faults);
}

tcp::endpoint cluster_target::get_endpoint() const
{
    return proxy ? proxy->endpoint : port->get_endpoint();
}

const tcp::endpoint& cluster_target::get_direct_endpoint() const
{
    return port->get_endpoint();
}

const tcp::endpoint& cluster_entry::get_http_endpoint() const
{
    return http_port->get_endpoint();
}

cluster::cluster(cluster_options options)
    : options_(std::move(options)),
      platform_("tests/stand_in_platform",
          {make_listen_flag(platform_port_.get_endpoint())})
{
    for (std::size_t dc = 0; dc < options_.data_centres; ++dc)
    {
        add_targets(dc);
        add_entries(dc);
    }
    publish_instances();
    if (!options_.starts_entries)
        return;
    // All daemons start before the first is waited for, as with a real fleet.
    for (auto& entry : entries_)
        start_entry(entry);
    for (const auto& entry : entries_)
        if (!wait_until_ready(entry))
            throw std::runtime_error(entry.id + " is not ready; its log: " +
                                     entry.process->get_errors());
}

cluster::~cluster()
{
    constexpr std::size_t max_log_bytes = 4096;
    if (!testing::Test::HasFailure())
        return;
    for (const auto& entry : entries_)
        if (entry.process)
            std::cerr << "last log lines of " << entry.id << ":\n"
                      << entry.process->get_errors(max_log_bytes) << '\n';
}

std::string cluster::get_data_centre_name(std::size_t index) const
{
    if (index == 0 && !options_.first_data_centre.empty())
        return options_.first_data_centre;
    return "dc-" + std::to_string(index + 1);
}

void cluster::add_targets(std::size_t data_centre_index)
{
    std::string dc = std::to_string(data_centre_index + 1);
    std::size_t in_data_centre = 0;
    for (const auto& pool : options_.pools)
    {
        for (std::size_t i = 0; i < options_.targets_per_pool; ++i)
        {
            std::size_t rack = in_data_centre++ / options_.targets_per_rack;
            cluster_target it;
            it.id = "target-" + dc + "-" + pool + "-" + std::to_string(i + 1);
            it.pool = pool;
            it.data_centre = get_data_centre_name(data_centre_index);
            it.rack = "rack-" + dc + "-" + std::to_string(rack + 1);
            it.port = std::make_unique<port_holder>();
            start_target(it);
            if (options_.has_target_proxies)
                it.proxy =
                    std::make_unique<cluster_proxy>(it.port->get_endpoint());
            targets_.push_back(std::move(it));
        }
    }
}

void cluster::add_entries(std::size_t data_centre_index)
{
    std::string dc = std::to_string(data_centre_index + 1);
    for (std::size_t i = 0; i < options_.entries_per_data_centre; ++i)
    {
        std::string number = std::to_string(i + 1);
        cluster_entry it;
        it.id = "entry-" + dc + "-" + number;
        it.data_centre = get_data_centre_name(data_centre_index);
        it.data_centre_index = data_centre_index;
        it.address = "127.1." + dc + "." + number;
        it.http_port = std::make_unique<port_holder>(it.address);
        it.peer_port = std::make_unique<port_holder>(it.address);
        if (options_.has_peer_proxies)
            it.peer_proxy =
                std::make_unique<cluster_proxy>(it.peer_port->get_endpoint());
        if (options_.has_platform_proxies)
            it.platform_proxy =
                std::make_unique<cluster_proxy>(get_platform_endpoint());
        entries_.push_back(std::move(it));
    }
}

void cluster::start_target(cluster_target& target)
{
    std::vector<std::string> arguments = options_.target_flags;
    arguments.push_back("--id=" + target.id);
    arguments.push_back(make_listen_flag(target.port->get_endpoint()));
    target.process.reset();
    target.process =
        std::make_unique<child_process>("tests/stand_in_target", arguments);
}

std::string cluster::write_settings(const cluster_entry& entry) const
{
    auto peer = entry.peer_proxy ? entry.peer_proxy->endpoint
                                 : entry.peer_port->get_endpoint();
    auto platform = entry.platform_proxy ? entry.platform_proxy->endpoint
                                         : get_platform_endpoint();
    auto quote = [](const std::string& text) { return '"' + text + '"'; };
    std::map<std::string, std::string> values = options_.entry_settings;
    values["entry"] = quote(entry.id);
    values["data_centre"] = quote(entry.data_centre);
    values["http_listen"] = quote(format_endpoint(entry.get_http_endpoint()));
    values["peer_listen"] =
        quote(format_endpoint(entry.peer_port->get_endpoint()));
    values["peer_advertise"] = quote(format_endpoint(peer));
    values["platform"] = quote(format_endpoint(platform));
    values["bootstrap_secret_sha256"] =
        quote(sha256_hex(options_.bootstrap_secret));
    std::string path = directory_.get_path() / (entry.id + ".toml");
    std::ofstream out(path, std::ios::trunc);
    for (const auto& [name, value] : values)
        out << name << " = " << value << '\n';
    return path;
}

void cluster::start_entry(cluster_entry& entry)
{
    entry.process.reset();
    std::vector<std::string> arguments = options_.daemon_flags;
    arguments.push_back("--settings=" + write_settings(entry));
    entry.process =
        std::make_unique<child_process>(options_.daemon, arguments, 2);
}

bool cluster::wait_until_ready(const cluster_entry& entry, milliseconds timeout)
{
    bool is_ready = false;
    wait_until(
        [&]
        {
            // A daemon that ended does not become ready.
            if (entry.process->wait(milliseconds(0)))
                return true;
            http_result result = fetch(entry.get_http_endpoint(),
                {"GET", "/readyz", {}, {}, ""}, milliseconds(1'000));
            is_ready = result.response && result.response->status == 200;
            return is_ready;
        },
        timeout);
    return is_ready;
}

void cluster::publish_instances(const std::vector<std::string>& leaving)
{
    auto get_state = [&](const std::string& id)
    {
        bool is_leaving =
            std::find(leaving.begin(), leaving.end(), id) != leaving.end();
        return is_leaving ? "leaving" : "live";
    };
    json instances = json::array();
    for (const auto& it : targets_)
        instances.push_back({{"id", it.id}, {"kind", "target"},
            {"data_centre", it.data_centre}, {"rack", it.rack},
            {"address", format_endpoint(it.get_endpoint())},
            {"state", get_state(it.id)}});
    for (const auto& it : entries_)
        instances.push_back({{"id", it.id}, {"kind", "entry"},
            {"data_centre", it.data_centre}, {"rack", ""},
            {"address", format_endpoint(it.get_http_endpoint())},
            {"state", get_state(it.id)}});
    // Control rather than PUT, as it also works while the platform is down.
    set_control(get_platform_endpoint(), {{"instances", instances}});
}

const tcp::endpoint& cluster::get_platform_endpoint() const
{
    return platform_port_.get_endpoint();
}

cluster_entry& cluster::get_entry(const std::string& id)
{
    return find_by_id(entries_, id);
}

cluster_target& cluster::get_target(const std::string& id)
{
    return find_by_id(targets_, id);
}

void cluster::block_peers(
    const entry_filter& is_cut_off, cut_direction direction)
{
    for (const auto& to : entries_)
    {
        if (!to.peer_proxy)
            throw std::logic_error("the cluster has no peer proxies");
        json sources = json::array();
        for (const auto& from : entries_)
            if (is_cut_off(from) != is_cut_off(to))
                sources.push_back(from.address);
        bool drops_requests =
            is_cut_off(to) ? direction.drops_inbound : direction.drops_outbound;
        bool drops_replies =
            is_cut_off(to) ? direction.drops_outbound : direction.drops_inbound;
        json faults = json::object();
        if (drops_requests)
            faults["drop_from"] = sources;
        if (drops_replies)
            faults["drop_to"] = sources;
        to.peer_proxy->control(faults);
    }
}

void cluster::block_platform(
    const entry_filter& is_cut_off, cut_direction direction)
{
    for (const auto& it : entries_)
        if (is_cut_off(it))
            it.platform_proxy->control(
                {{"drop_to_server", direction.drops_outbound},
                    {"drop_to_client", direction.drops_inbound}});
}

void cluster::block_peers_of(
    std::size_t data_centre_index, cut_direction direction)
{
    block_peers([=](const cluster_entry& it)
        { return it.data_centre_index == data_centre_index; },
        direction);
}

void cluster::block_platform_of(
    std::size_t data_centre_index, cut_direction direction)
{
    block_platform([=](const cluster_entry& it)
        { return it.data_centre_index == data_centre_index; },
        direction);
}

void cluster::isolate_entry(const std::string& id)
{
    entry_filter is_cut_off = [&](const cluster_entry& it)
    { return it.id == id; };
    block_peers(is_cut_off, {});
    block_platform(is_cut_off, {});
}

void cluster::heal()
{
    json faults = {{"restore", true}};
    for (const auto& it : entries_)
        for (const auto* proxy : {&it.peer_proxy, &it.platform_proxy})
            if (*proxy)
                (*proxy)->control(faults);
    for (const auto& it : targets_)
        if (it.proxy)
            it.proxy->control(faults);
}

} // namespace cowslippass
