#pragma once

#include <vector>

namespace cowslippass::bench
{

/// Compares the slots that teams use with the fair division of the pool: each
/// gets what it asks for, up to equal parts of what the others leave.
class share_meter
{
public:
    explicit share_meter(std::size_t teams) : teams_(teams) {}

    /// @param demands running and waiting tasks of each team.
    /// @param used slots that each team uses.
    /// @param seconds time since the last sample.
    void add_sample(const std::vector<double>& demands,
        const std::vector<double>& used, double slots, double seconds);

    /// @return the largest shortfall of a team, in seconds of an equal part
    ///   of the pool.
    double get_shortfall_s() const { return worst_s_; }
    /// @return the longest time that a team was behind by more than 1 s of
    ///   an equal part.
    double get_length_s() const { return longest_s_; }

private:
    struct team
    {
        double behind = 0.0; ///< Slot seconds.
        double length_s = 0.0;
    };

    std::vector<team> teams_;
    double worst_s_ = 0.0;
    double longest_s_ = 0.0;
};

} // namespace cowslippass::bench
