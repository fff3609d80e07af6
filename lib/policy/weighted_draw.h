/// Draws one of several candidates by their weights.
#pragma once

namespace cassia::policy {

/// \param random_fraction 0 to 1. \returns null if no candidate has a weight above 0.
template <class Candidates, class Weight>
const typename Candidates::value_type* draw_by_weight(const Candidates& all, const Weight& weight,
                                                      double random_fraction) {
    double sum = 0;
    for (const typename Candidates::value_type& one : all)
        sum += weight(one);
    double left = random_fraction * sum;
    const typename Candidates::value_type* last = nullptr;
    for (const typename Candidates::value_type& one : all) {
        if (weight(one) <= 0)
            continue;
        last = &one;
        left -= weight(one);
        if (left < 0)
            break;
    }
    return last;
}

} // namespace cassia::policy
