#include "observability/trace_context.h"

#include <boost/algorithm/hex.hpp>

#include <algorithm>
#include <iterator>

namespace peridot {

namespace {

// Layout of version 00: "00-<32 hex digits>-<16 hex digits>-<2 hex digits>".
constexpr std::size_t trace_offset = 3;
constexpr std::size_t span_offset = 36;
constexpr std::size_t flags_offset = 53;
constexpr std::size_t version_00_bytes = 55;
constexpr std::uint8_t sampled_flag = 1;
constexpr std::uint8_t forbidden_version = 0xff;

bool is_lower_hex(char character) {
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
}

/// Decodes two digits per byte of the array; the standard allows only lower-case digits.
template<std::size_t Size>
bool decode(std::string_view header, std::size_t offset, std::array<std::uint8_t, Size>& bytes) {
    std::string_view const digits = header.substr(offset, 2 * Size);
    if (!std::all_of(digits.begin(), digits.end(), is_lower_hex)) {
        return false;
    }
    boost::algorithm::unhex(digits.begin(), digits.end(), bytes.begin());
    return true;
}

template<std::size_t Size>
bool is_zero(std::array<std::uint8_t, Size> const& bytes) {
    return std::all_of(bytes.begin(), bytes.end(), [](std::uint8_t byte) { return byte == 0; });
}

bool has_valid_layout(std::string_view header) {
    return header.size() >= version_00_bytes && header.size() <= max_traceparent_bytes &&
           header[trace_offset - 1] == '-' && header[span_offset - 1] == '-' &&
           header[flags_offset - 1] == '-';
}

/// Versions after 00 may append further fields, separated by a dash.
bool has_valid_length(std::string_view header, std::uint8_t version) {
    return header.size() == version_00_bytes || (version != 0 && header[version_00_bytes] == '-');
}

template<std::size_t Size>
void fill_random(std::array<std::uint8_t, Size>& bytes, random_source& random) {
    do {
        std::generate(bytes.begin(), bytes.end(),
                      [&random] { return static_cast<std::uint8_t>(random() >> 56U); });
    } while (is_zero(bytes));
}

error malformed() {
    return {result_code::request_malformed, "malformed traceparent header"};
}

} // namespace

result<trace_context> parse_traceparent(std::string_view header) {
    trace_context context;
    std::array<std::uint8_t, 1> version{};
    std::array<std::uint8_t, 1> flags{};
    if (!has_valid_layout(header) || !decode(header, 0, version) ||
        !decode(header, trace_offset, context.trace) ||
        !decode(header, span_offset, context.span) || !decode(header, flags_offset, flags)) {
        return malformed();
    }
    if (version[0] == forbidden_version || !has_valid_length(header, version[0]) ||
        is_zero(context.trace) || is_zero(context.span)) {
        return malformed();
    }
    context.sampled = (flags[0] & sampled_flag) != 0;
    return context;
}

std::string format_traceparent(trace_context const& context) {
    std::string header = "00-";
    boost::algorithm::hex_lower(context.trace.begin(), context.trace.end(),
                                std::back_inserter(header));
    header += '-';
    boost::algorithm::hex_lower(context.span.begin(), context.span.end(),
                                std::back_inserter(header));
    return header += context.sampled ? "-01" : "-00";
}

trace_context start_trace(random_source& random, double sampling_probability) {
    trace_context context;
    fill_random(context.trace, random);
    fill_random(context.span, random);
    context.sampled =
        std::uniform_real_distribution<double>(0.0, 1.0)(random) < sampling_probability;
    return context;
}

trace_context child_of(trace_context const& parent, random_source& random) {
    trace_context context = parent;
    fill_random(context.span, random);
    return context;
}

trace_context continue_or_start_trace(std::string_view header, random_source& random,
                                      double sampling_probability) {
    auto const received = parse_traceparent(header);
    return is_ok(received) ? value(received) : start_trace(random, sampling_probability);
}

} // namespace peridot
