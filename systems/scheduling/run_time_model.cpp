#include "systems/scheduling/run_time_model.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>

namespace cowslippass
{

namespace
{

using json = nlohmann::json;

/// Weight of all samples together: a new sample counts at least one part in
/// this many, so that a change of the load shows within a few hundred runs.
constexpr double max_weight = 300;
/// The assumption that a run takes as long as estimated counts as much as this
/// many samples.
constexpr double prior_weight = 8;
/// Deviation of estimates of which nothing is known: a factor of two.
constexpr double prior_deviation = 0.7;
/// Variance of the logarithm of the estimates that the prior assumes.
constexpr double prior_variance_of_x = 0.25;
/// An image is predicted by its own samples from this weight on.
constexpr double min_image_weight = 20;
/// Limits a queue's record, which has to fit a row of the store.
constexpr std::size_t max_images = 32;
constexpr std::size_t max_image_name_bytes = 200;
/// Logarithm of the longest run time in milliseconds that a record may contain,
/// some 30 years.
constexpr double max_logarithm = 27.6;

double get_logarithm(milliseconds time)
{
    return std::log(
        static_cast<double>(std::max<std::int64_t>(1, time.count())));
}

milliseconds get_milliseconds(double logarithm)
{
    return milliseconds(static_cast<std::int64_t>(
        std::llround(std::exp(std::min(logarithm, max_logarithm)))));
}

} // namespace

milliseconds run_time_forecast::get_quantile(double z) const
{
    return milliseconds(static_cast<std::int64_t>(
        static_cast<double>(median.count()) * std::exp(z * deviation)));
}

void run_time_model::regression::add(double x, double y)
{
    double left = weight + 1 > max_weight ? (max_weight - 1) / weight : 1;
    weight *= left;
    sum_xx *= left;
    sum_xy *= left;
    sum_yy *= left;
    weight += 1;
    // Welford's update of means and sums of squared distances.
    double dx = x - mean_x;
    double dy = y - mean_y;
    mean_x += dx / weight;
    mean_y += dy / weight;
    sum_xx += dx * (x - mean_x);
    sum_xy += dx * (y - mean_y);
    sum_yy += dy * (y - mean_y);
}

run_time_forecast run_time_model::regression::predict(const double* x) const
{
    run_time_forecast out;
    out.samples = weight;
    if (!x)
    {
        if (weight <= 0)
            return out;
        double variance =
            (sum_yy + prior_weight * prior_deviation * prior_deviation) /
            (weight + prior_weight);
        out.median = get_milliseconds(mean_y);
        out.deviation = std::sqrt(variance);
        return out;
    }
    double slope = (sum_xy + prior_weight * prior_variance_of_x) /
                   (sum_xx + prior_weight * prior_variance_of_x);
    slope = std::clamp(slope, 0.0, 1.0);
    // The prior's samples lie on y = x at the mean of x.
    double share = weight / (weight + prior_weight);
    double centre_x = weight > 0 ? mean_x : *x;
    double centre_y = centre_x + share * (mean_y - centre_x);
    double bias = mean_y - centre_y;
    double residual = weight > 0
                          ? sum_yy - 2 * slope * sum_xy +
                                slope * slope * sum_xx + weight * bias * bias
                          : 0;
    out.deviation =
        std::sqrt((std::max(0.0, residual) +
                      prior_weight * prior_deviation * prior_deviation) /
                  (weight + prior_weight));
    out.median = get_milliseconds(centre_y + slope * (*x - centre_x));
    return out;
}

void run_time_model::add(
    const queue_id& queue, const step_spec& step, milliseconds took)
{
    if (took <= milliseconds(0) || step.estimate <= milliseconds(0))
        return;
    double x = get_logarithm(step.estimate);
    double y = get_logarithm(took);
    queue_entry& it = entries_[queue];
    it.all.add(x, y);
    changed_queues_.insert(queue);
    if (step.image.empty() || step.image.size() > max_image_name_bytes)
        return;
    auto image = it.images.find(step.image);
    if (image == it.images.end() && it.images.size() >= max_images)
        return;
    it.images[step.image].add(x, y);
}

run_time_forecast run_time_model::predict(
    const queue_id& queue, const step_spec& step) const
{
    double x = get_logarithm(step.estimate);
    const double* known_x = step.estimate > milliseconds(0) ? &x : nullptr;
    auto it = entries_.find(queue);
    if (it == entries_.end())
        return known_x ? regression().predict(known_x) : run_time_forecast();
    auto image = it->second.images.find(step.image);
    if (image != it->second.images.end() &&
        image->second.weight >= min_image_weight)
        return image->second.predict(known_x);
    return it->second.all.predict(known_x);
}

// Records.

namespace
{

/// Order of the numbers of a regression in a record.
constexpr std::size_t number_count = 6;

std::array<double, number_count> read_numbers(const json& in)
{
    std::array<double, number_count> out{};
    if (!in.is_array() || in.size() != number_count)
        throw systems_error("bad_run_times", "six numbers were expected");
    for (std::size_t i = 0; i < number_count; ++i)
        in[i].get_to(out[i]);
    auto is_plausible = [](double it)
    { return std::isfinite(it) && std::abs(it) <= max_weight * 800; };
    if (!std::ranges::all_of(out, is_plausible) || out[0] < 0 ||
        out[0] > max_weight || out[3] < 0 || out[5] < 0)
        throw systems_error("bad_run_times", "a number is out of range");
    return out;
}

} // namespace

std::vector<run_time_model::record_change>
run_time_model::take_changed_records()
{
    auto write = [](const regression& it)
    {
        return json{
            it.weight, it.mean_x, it.mean_y, it.sum_xx, it.sum_xy, it.sum_yy};
    };
    std::vector<record_change> out;
    for (const queue_id& queue : changed_queues_)
    {
        const queue_entry& it = entries_.at(queue);
        json record{{"all", write(it.all)}, {"images", json::object()}};
        for (const auto& [image, own] : it.images)
            record["images"][image] = write(own);
        out.push_back({queue,
            record.dump(-1, ' ', false, json::error_handler_t::replace)});
    }
    changed_queues_.clear();
    return out;
}

void run_time_model::load(const queue_id& queue, const std::string& record)
{
    auto read = [](const json& in)
    {
        auto n = read_numbers(in);
        return regression{n[0], n[1], n[2], n[3], n[4], n[5]};
    };
    try
    {
        json in = json::parse(record);
        queue_entry entry;
        entry.all = read(in.at("all"));
        for (const auto& [image, own] : in.at("images").items())
            if (entry.images.size() < max_images)
                entry.images[image] = read(own);
        entries_[queue] = std::move(entry);
    }
    catch (const json::exception& e)
    {
        throw systems_error("bad_run_times", e.what());
    }
}

} // namespace cowslippass
