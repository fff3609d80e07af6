#include "cassia/standin/answer_text.h"

#include "cassia/base/digest.h"

namespace cassia::standin {

std::string token_text(const std::string& prompt, std::uint32_t token) {
    constexpr std::uint64_t words = 9973;
    const std::uint64_t word = stable_hash(prompt + "#" + std::to_string(token)) % words;
    return "w" + std::to_string(word) + " ";
}

std::string answer_text(const std::string& prompt, std::uint32_t tokens) {
    std::string text;
    for (std::uint32_t token = 0; token < tokens; ++token)
        text += token_text(prompt, token);
    return text;
}

} // namespace cassia::standin
