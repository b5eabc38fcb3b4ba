#pragma once

#include "tests/integration/process_fixture.hpp"
#include "tests/stand_ins/users_platform.hpp"

#include <memory>
#include <thread>

namespace cowslippass
{

/// Peak resident memory of a process, in KiB.
std::size_t get_peak_memory_kib(pid_t pid);

std::size_t count_descriptors(pid_t pid);

/// Waits until the process has read what its callers sent: its memory and its
/// descriptors stay the same for half a second.
void wait_until_settled(pid_t pid);

/// One `cowslippass_entryd` as a process, and its platform with one target in a
/// thread of the test. The entry's settings state a small machine.
class entry_process
{
public:
    static constexpr std::size_t memory_mb = 64;
    static constexpr std::size_t max_descriptors = 256;

    /// Returns when the entry is ready.
    entry_process();
    ~entry_process();

    const tcp::endpoint& get_front() const { return front_.get_endpoint(); }
    const tcp::endpoint& get_readiness() const
    {
        return readiness_.get_endpoint();
    }
    const tcp::endpoint& get_metrics() const { return metrics_.get_endpoint(); }
    const tcp::endpoint& get_peer() const { return peer_.get_endpoint(); }

    /// Fails the test unless the process lives, its peak of memory and its
    /// descriptors are within the machine's limits, and a job that is then
    /// submitted is accepted.
    void expect_in_service();

private:
    void start();

    asio::io_context io_;
    users_platform platform_{io_};
    std::thread thread_;
    port_holder front_;
    port_holder readiness_;
    port_holder peer_;
    port_holder metrics_;
    temp_directory directory_;
    std::unique_ptr<child_process> process_;
};

} // namespace cowslippass
