/// What the stand-in engine answers: a function of the prompt, so that a checker can tell a whole
/// answer from a mixed-up one.
#pragma once

#include <cstdint>
#include <string>

namespace cassia::standin {

std::string token_text(const std::string& prompt, std::uint32_t token);

/// The whole answer.
std::string answer_text(const std::string& prompt, std::uint32_t tokens);

} // namespace cassia::standin
