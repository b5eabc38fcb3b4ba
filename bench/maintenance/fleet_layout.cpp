#include "bench/maintenance/fleet_layout.hpp"

#include <numeric>

namespace cowslippass
{

namespace
{

constexpr std::size_t pool_count = 36;
constexpr std::size_t data_centre_count = 7;

/// Pools of the mean size plus and minus a third, and a spare pool of half the
/// mean size.
fleet_layout make_large(std::size_t instances)
{
    std::size_t mean = instances / pool_count;
    fleet_layout out{
        std::to_string(instances) + " instances", data_centre_count, {}};
    out.pool_sizes.push_back(mean / 2);
    for (std::size_t i = 1; i < pool_count; ++i)
        out.pool_sizes.push_back(mean - mean / 3 + (i % 5) * mean / 6);
    std::size_t sum = out.count_instances();
    for (std::size_t i = 1; sum < instances; ++i, ++sum)
        ++out.pool_sizes[1 + i % (pool_count - 1)];
    for (std::size_t i = 1; sum > instances; ++i, --sum)
        --out.pool_sizes[1 + i % (pool_count - 1)];
    return out;
}

std::string pad(std::size_t n)
{
    std::string text = std::to_string(n);
    return std::string(4 - text.size(), '0') + text;
}

class fleet_builder
{
public:
    fleet_builder(const fleet_layout& layout, std::uint32_t pass)
        : layout_(layout), pass_(pass), racks_(layout.data_centres)
    {
        for (std::size_t i = 0; i < layout.data_centres; ++i)
            out_.emplace_back(data_centre_record{get_data_centre(i), true});
    }

    void add_pool(std::size_t n, std::size_t size)
    {
        bool is_spare = n == 0;
        std::uint32_t budget = get_budget(size);
        if (is_spare && layout_.has_fixed_buffers)
            return;
        pool_id id((is_spare ? "spare" : "pool-") + (is_spare ? "" : pad(n)));
        std::size_t members = size + (layout_.has_fixed_buffers ? budget : 0);
        // Nothing runs on spare instances, so that all of them may be lent.
        out_.emplace_back(pool_record{id,
            is_spare ? static_cast<std::uint32_t>(size) : budget, is_spare});
        for (std::size_t i = 0; i < members; ++i)
            add_instance(id, id.get() + "-" + pad(i),
                (i * layout_.data_centres / members));
    }

    std::vector<fleet_record> finish() { return std::move(out_); }

private:
    static data_centre_id get_data_centre(std::size_t n)
    {
        return data_centre_id("dc-" + std::to_string(n));
    }

    void add_instance(
        const pool_id& pool, const std::string& name, std::size_t data_centre)
    {
        std::size_t place = racks_[data_centre]++;
        instance_record it;
        it.id = instance_id(name);
        it.data_centre = get_data_centre(data_centre);
        it.rack = rack_id(it.data_centre.get() + "-rack-" +
                          pad(place / layout_.instances_per_rack));
        it.address = "127.0.0.1:1";
        it.pool = pool;
        out_.emplace_back(it);
        out_.emplace_back(instance_state_record{
            it.id, instance_state::in_service, pass_, false});
    }

    const fleet_layout& layout_;
    std::uint32_t pass_;
    std::vector<std::size_t> racks_; ///< Instances placed, by data centre.
    std::vector<fleet_record> out_;
};

} // namespace

std::size_t fleet_layout::count_instances() const
{
    return std::accumulate(
        pool_sizes.begin(), pool_sizes.end(), std::size_t{0});
}

std::uint32_t get_budget(std::size_t pool_size)
{
    return static_cast<std::uint32_t>((pool_size + 9) / 10);
}

std::vector<fleet_layout> get_layouts()
{
    return {{"Serrano", 3, {8, 9, 10, 11, 12}},
        {"Resztka", 4, {8, 9, 10, 11, 12}}, make_large(400), make_large(1'600),
        make_large(4'300)};
}

std::vector<fleet_record> make_fleet(
    const fleet_layout& layout, std::uint32_t pass)
{
    fleet_builder builder(layout, pass);
    for (std::size_t i = 0; i < layout.pool_sizes.size(); ++i)
        builder.add_pool(i, layout.pool_sizes[i]);
    return builder.finish();
}

} // namespace cowslippass
