#include "systems/pools/load_meter.hpp"

#include <cmath>

namespace cowslippass
{

double load_meter::decay(const entry& it, boot_time now) const
{
    double passed =
        std::chrono::duration<double, std::milli>(now - it.at).count();
    return it.sum * std::exp(-passed / static_cast<double>(memory_.count()));
}

void load_meter::add(const pool_id& pool, double work, boot_time now)
{
    entry& it = entries_[pool];
    it.sum = decay(it, now) + work;
    it.at = now;
}

double load_meter::get_rate(const pool_id& pool, boot_time now) const
{
    auto it = entries_.find(pool);
    if (it == entries_.end())
        return 0;
    return decay(it->second, now) / static_cast<double>(memory_.count());
}

} // namespace cowslippass
