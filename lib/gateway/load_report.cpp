#include "cassia/gateway/load_report.h"

#include "cassia/base/log.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>

namespace cassia::gateway {

namespace {
constexpr std::size_t least_fields = 3;
constexpr std::size_t most_fields = 4;
constexpr double least_pace = 1;
constexpr double most_pace = 10000;
constexpr double percent = 100;
} // namespace

static std::optional<double> read_decimal(std::string_view text) {
    constexpr std::string_view blanks = " \t";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return std::nullopt;
    text = text.substr(first, text.find_last_not_of(blanks) - first + 1);
    double value = 0;
    const char* end = text.data() + text.size();
    const std::from_chars_result read =
        std::from_chars(text.data(), end, value, std::chars_format::fixed);
    const bool valid = read.ec == std::errc() && read.ptr == end && std::isfinite(value) &&
                       !std::signbit(value) && value <= std::numeric_limits<std::uint32_t>::max();
    return valid ? std::optional<double>(value) : std::nullopt;
}

std::optional<policy::load_report> read_load_report(std::string_view text) {
    std::array<double, most_fields> values{};
    std::size_t count = 0;
    for (std::size_t begin = 0; begin <= text.size();) {
        const std::size_t end = std::min(text.find(',', begin), text.size());
        const std::optional<double> value = read_decimal(text.substr(begin, end - begin));
        if (!value || count == most_fields)
            return std::nullopt;
        values[count++] = *value;
        begin = end + 1;
    }
    if (count < least_fields)
        return std::nullopt;
    policy::load_report report;
    report.running = static_cast<std::uint32_t>(values[0]);
    report.waiting = static_cast<std::uint32_t>(values[1]);
    report.slots = static_cast<std::uint32_t>(values[2]);
    if (count == most_fields) {
        if (values[3] < least_pace || values[3] > most_pace)
            return std::nullopt;
        report.pace_percent = values[3];
    }
    return report;
}

void record_load(policy::slot_table& slots, metrics& counts, const endpoint_id& endpoint,
                 std::string_view header, instant now) {
    if (header.empty())
        return;
    const std::optional<policy::load_report> report = read_load_report(header);
    if (report)
        slots.pace().record_report(endpoint, *report, now);
    else
        counts.count("load_reports_malformed");
}

void record_run(policy::slot_table& slots, const endpoint_id& endpoint, policy::run_shape shape,
                microseconds duration, instant now) {
    shape.load = slots.pace().reported_load(endpoint).value_or(slots.in_use(endpoint));
    const std::optional<policy::pace_contradiction> change =
        slots.pace().record_run(endpoint, shape, duration, now);
    if (!change)
        return;
    log_info("load_report_contradicted")
        .with("endpoint", endpoint.str())
        .with("reported", std::llround(change->reported * percent))
        .with("observed", std::llround(change->observed * percent))
        .with("ignored", change->ignored ? 1 : 0);
}

policy::pace_source read_pace_source(std::string_view setting) {
    if (setting == "off")
        return policy::pace_source::none;
    return setting == "observed" ? policy::pace_source::runs : policy::pace_source::reports;
}

} // namespace cassia::gateway
