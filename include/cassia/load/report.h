/// Results of a run as a table, as CSV and as an SVG plot.
#pragma once

#include "cassia/load/batch_phase.h"
#include "cassia/load/online_phase.h"

#include <string>
#include <vector>

namespace cassia::load {

struct phase_report {
    std::string name;
    const online_result* online = nullptr; ///< null if the phase had none
    const batch_result* batch = nullptr;
};

std::string to_table(const std::vector<phase_report>& phases);
/// Lines of phase, measure, upper edge in ms, count.
std::string to_csv(const std::vector<phase_report>& phases);
/// First-token time by share of calls, a curve a phase.
std::string to_svg(const std::vector<phase_report>& phases);

} // namespace cassia::load
