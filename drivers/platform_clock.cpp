#include "drivers/platform_clock.hpp"

#include <ctime>
#include <iomanip>
#include <locale>
#include <sstream>

namespace cowslippass
{

void platform_clock::update_from_date(
    const std::string& date, monotonic_time received)
{
    std::tm fields{};
    std::istringstream in(date);
    in.imbue(std::locale::classic());
    in >> std::get_time(&fields, "%a, %d %b %Y %H:%M:%S GMT");
    if (in.fail())
        return;
    std::int64_t seconds = timegm(&fields);
    last_reading_ = {platform_time(seconds * 1'000), received};
}

platform_time platform_clock::get_time(monotonic_time now) const
{
    if (!last_reading_)
        return platform_time();
    auto passed =
        std::chrono::duration_cast<milliseconds>(now - last_reading_->received);
    return platform_time(last_reading_->time.get() + passed.count());
}

} // namespace cowslippass
