#pragma once

#include "tests/integration/process_fixture.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cowslippass
{

struct cluster_options
{
    std::size_t data_centres = 1;
    /// Name of the first data centre instead of `dc-1`; may be empty.
    std::string first_data_centre;
    std::size_t entries_per_data_centre = 1;
    std::vector<std::string> pools{"pool-1"};
    std::size_t targets_per_pool = 1; ///< In each data centre.
    std::size_t targets_per_rack = 4;
    /// One proxy to the platform for each entry.
    bool has_platform_proxies = false;
    /// One proxy in front of the peer port of each entry.
    bool has_peer_proxies = false;
    /// One proxy in front of each target.
    bool has_target_proxies = false;
    std::vector<std::string> target_flags{"--run-ms=50"};
    /// Secret that may create the first operator.
    std::string bootstrap_secret = "bootstrap-secret";
    /// Program of every entry, relative to the build directory.
    std::string daemon = "cowslippassd";
    std::vector<std::string> daemon_flags;
    /// Further settings of every entry, as TOML values by name.
    std::map<std::string, std::string> entry_settings;
    /// Otherwise the test calls `start_entry`.
    bool starts_entries = true;
};

/// Packets that a cut drops, as seen from the part that is cut off.
struct cut_direction
{
    bool drops_outbound = true;
    bool drops_inbound = true;
};

/// A proxy process in front of one address.
struct cluster_proxy
{
    explicit cluster_proxy(const tcp::endpoint& to);

    void control(const nlohmann::json& faults) const;

    child_process process;
    tcp::endpoint endpoint;
    tcp::endpoint control_endpoint;
};

struct cluster_target
{
    std::string id;
    std::string pool;
    std::string data_centre;
    std::string rack;
    std::unique_ptr<port_holder> port;
    std::unique_ptr<child_process> process;
    std::unique_ptr<cluster_proxy> proxy;

    /// @return the address that entries use.
    tcp::endpoint get_endpoint() const;

    /// @return the target's own address; tests use it for control.
    const tcp::endpoint& get_direct_endpoint() const;
};

struct cluster_entry
{
    std::string id;
    std::string data_centre;
    std::size_t data_centre_index = 0;
    std::string address; ///< A loopback address of its own.
    std::unique_ptr<port_holder> http_port;
    std::unique_ptr<port_holder> peer_port;
    std::unique_ptr<cluster_proxy> peer_proxy;
    std::unique_ptr<cluster_proxy> platform_proxy;
    std::unique_ptr<child_process> process;

    const tcp::endpoint& get_http_endpoint() const;
};

/// One stand-in platform, and data centres with entries and targets, all as
/// processes. Ids are `dc-1`, `entry-1-2` (data centre, number),
/// `target-1-pool-1-2` (data centre, pool, number) and `rack-1-2`.
class cluster
{
public:
    explicit cluster(cluster_options options);
    ~cluster();
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    const tcp::endpoint& get_platform_endpoint() const;
    std::vector<cluster_entry>& get_entries() { return entries_; }
    std::vector<cluster_target>& get_targets() { return targets_; }

    /// @throws std::out_of_range for an unknown id.
    cluster_entry& get_entry(const std::string& id);
    cluster_target& get_target(const std::string& id);

    /// Starts the daemon, again if it ran before, on the same ports.
    void start_entry(cluster_entry& entry);

    /// @return whether `/readyz` answered 200 before the timeout.
    bool wait_until_ready(const cluster_entry& entry,
        milliseconds timeout = milliseconds(30'000));

    void start_target(cluster_target& target);

    /// Sets the platform's instance list to all entries and targets, live
    /// except for those given.
    void publish_instances(const std::vector<std::string>& leaving = {});

    /// Swallows what the entries of this data centre and those of the others
    /// send each other. It tells entries apart by source address, so it needs
    /// peer links that connect from the address of `peer_listen`.
    void block_peers_of(
        std::size_t data_centre_index, cut_direction direction = {});

    /// Swallows what this data centre and the platform send each other.
    void block_platform_of(
        std::size_t data_centre_index, cut_direction direction = {});

    /// Cuts one entry off from the platform and from all other entries. It
    /// still reaches its callers and the targets.
    void isolate_entry(const std::string& id);

    /// Ends all faults of all proxies.
    void heal();

private:
    std::string get_data_centre_name(std::size_t index) const;
    using entry_filter = std::function<bool(const cluster_entry&)>;
    void block_peers(const entry_filter& is_cut_off, cut_direction direction);
    void block_platform(
        const entry_filter& is_cut_off, cut_direction direction);
    void add_targets(std::size_t data_centre_index);
    void add_entries(std::size_t data_centre_index);
    std::string write_settings(const cluster_entry& entry) const;

    cluster_options options_;
    temp_directory directory_;
    port_holder platform_port_;
    child_process platform_;
    std::vector<cluster_target> targets_;
    std::vector<cluster_entry> entries_;
};

} // namespace cowslippass
