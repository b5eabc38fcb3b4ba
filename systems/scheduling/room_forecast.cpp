#include "systems/scheduling/room_forecast.hpp"

#include <algorithm>

namespace cowslippass
{

namespace
{

constexpr double bucket_ms =
    static_cast<double>(room_forecast::bucket_length.count());

} // namespace

void room_forecast::add(double cores, boot_time from)
{
    std::chrono::duration<double, std::milli> delay =
        std::max(from, now_) - now_;
    auto bucket = static_cast<std::size_t>(delay.count() / bucket_ms);
    if (bucket >= bucket_count)
        return;
    cores_[bucket] += cores;
    missed_[bucket] += cores * delay.count();
}

room_forecast::totals room_forecast::get_totals() const
{
    totals out{};
    double cores = 0;
    double missed = 0;
    for (std::size_t i = 0; i < bucket_count; ++i)
    {
        cores += cores_[i];
        missed += missed_[i];
        out[i] = cores * bucket_ms * static_cast<double>(i + 1) - missed;
    }
    return out;
}

std::optional<milliseconds> room_forecast::find_time(double core_ms) const
{
    totals available = get_totals();
    auto it = std::ranges::lower_bound(available, core_ms);
    if (it != available.end())
        return bucket_length * (it - available.begin() + 1);
    double per_bucket =
        available[bucket_count - 1] - available[bucket_count - 2];
    if (per_bucket <= 0)
        return std::nullopt;
    double buckets = static_cast<double>(bucket_count) +
                     (core_ms - available.back()) / per_bucket;
    return milliseconds(static_cast<std::int64_t>(buckets * bucket_ms));
}

} // namespace cowslippass
