#include "cassia/load/report.h"

#include <cmath>
#include <cstdio>
#include <sstream>

namespace cassia::load {

namespace {
constexpr double us_per_ms = 1000;
constexpr int plot_width = 760;
constexpr int plot_height = 420;
constexpr int plot_margin = 60;
constexpr double least_ms = 1;
constexpr double most_ms = 10000;
constexpr const char* colors[] = {"#1b6ca8", "#c8553d", "#4a8f4f", "#7a5195", "#b58900"};
} // namespace

static double ms_at(const latency_histogram& histogram, double q) {
    return static_cast<double>(histogram.quantile(q).count()) / us_per_ms;
}

std::string to_table(const std::vector<phase_report>& phases) {
    std::string text =
        "phase                 calls  answered  wrong  refused  failed | first token ms p50 p95 "
        "p99 | between ms p95 | batch items  right  items/s  status\n";
    for (const phase_report& phase : phases) {
        char line[320];
        int size = std::snprintf(line, sizeof line, "%-20s", phase.name.c_str());
        if (phase.online != nullptr) {
            const online_result& online = *phase.online;
            size +=
                std::snprintf(line + size, sizeof line - static_cast<std::size_t>(size),
                              " %6llu %9llu %6llu %8llu %7llu | %15.1f %6.1f %6.1f | %12.1f |",
                              static_cast<unsigned long long>(online.sent),
                              static_cast<unsigned long long>(online.answered),
                              static_cast<unsigned long long>(online.wrong),
                              static_cast<unsigned long long>(online.refused),
                              static_cast<unsigned long long>(online.failed),
                              ms_at(online.first_token, 0.5), ms_at(online.first_token, 0.95),
                              ms_at(online.first_token, 0.99), ms_at(online.between_tokens, 0.95));
        }
        if (phase.batch != nullptr)
            std::snprintf(line + size, sizeof line - static_cast<std::size_t>(size),
                          " %11llu %6llu %8.1f  %s",
                          static_cast<unsigned long long>(phase.batch->items),
                          static_cast<unsigned long long>(phase.batch->right),
                          phase.batch->items_per_second, phase.batch->status.c_str());
        text += line;
        text += '\n';
        if (phase.online != nullptr) {
            for (const std::pair<const std::string, std::uint64_t>& one : phase.online->refusals)
                text += "    refused with " + one.first + ": " + std::to_string(one.second) + "\n";
        }
        if (phase.batch != nullptr && !phase.batch->problem.empty())
            text += "    batch: " + phase.batch->problem + "\n";
    }
    return text;
}

static void append_csv(std::string& out, const std::string& phase, const char* measure,
                       const latency_histogram& histogram) {
    std::istringstream lines(histogram.to_csv());
    for (std::string line; std::getline(lines, line);)
        out.append(phase).append(",").append(measure).append(",").append(line).append("\n");
}

std::string to_csv(const std::vector<phase_report>& phases) {
    std::string out = "phase,measure,upper_ms,count\n";
    for (const phase_report& phase : phases) {
        if (phase.online == nullptr)
            continue;
        append_csv(out, phase.name, "first_token", phase.online->first_token);
        append_csv(out, phase.name, "between_tokens", phase.online->between_tokens);
        append_csv(out, phase.name, "whole", phase.online->whole);
    }
    return out;
}

static double x_of(double ms) {
    const double part =
        std::log10(std::max(ms, least_ms) / least_ms) / std::log10(most_ms / least_ms);
    return plot_margin + part * (plot_width - 2 * plot_margin);
}

static double y_of(double q) {
    return plot_height - plot_margin - q * (plot_height - 2 * plot_margin);
}

std::string to_svg(const std::vector<phase_report>& phases) {
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << plot_width << "\" height=\""
        << plot_height << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    for (double ms = least_ms; ms <= most_ms; ms *= 10) {
        out << "<line x1=\"" << x_of(ms) << "\" x2=\"" << x_of(ms) << "\" y1=\"" << y_of(0)
            << "\" y2=\"" << y_of(1) << "\" stroke=\"#ddd\"/>\n<text x=\"" << x_of(ms) << "\" y=\""
            << y_of(0) + 18 << "\" text-anchor=\"middle\">" << ms << "</text>\n";
    }
    for (const double q : {0.0, 0.5, 0.95, 1.0})
        out << "<text x=\"" << plot_margin - 8 << "\" y=\"" << y_of(q) + 4
            << "\" text-anchor=\"end\">" << q << "</text>\n";
    out << "<text x=\"" << plot_width / 2 << "\" y=\"" << plot_height - 14
        << "\" text-anchor=\"middle\">first token, ms (share of calls below)</text>\n";
    std::size_t number = 0;
    for (const phase_report& phase : phases) {
        if (phase.online == nullptr)
            continue;
        const char* color = colors[number % std::size(colors)];
        out << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << color << "\" points=\"";
        constexpr int steps = 200;
        for (int i = 0; i <= steps; ++i) {
            const double q = static_cast<double>(i) / steps;
            out << x_of(ms_at(phase.online->first_token, q)) << ',' << y_of(q) << ' ';
        }
        out << "\"/>\n<text x=\"" << plot_margin + 10 << "\" y=\"" << plot_margin + 16 * number
            << "\" fill=\"" << color << "\">" << phase.name << "</text>\n";
        ++number;
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace cassia::load
