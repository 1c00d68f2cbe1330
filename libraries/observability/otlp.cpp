#include "observability/otlp.h"

#include <boost/algorithm/hex.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace peridot {

namespace {

namespace json = boost::json;

template<std::size_t Size>
std::string to_hex(std::array<std::uint8_t, Size> const& bytes) {
    std::string text;
    boost::algorithm::hex_lower(bytes.begin(), bytes.end(), std::back_inserter(text));
    return text;
}

/// Replaces all non-ASCII bytes if the text is not valid UTF-8. A single invalid text, for example
/// from the URL of a request, would make the collector reject the entire batch.
std::string replace_invalid_utf8(std::string const& text) {
    json::error_code failed;
    json::parse(json::serialize(json::string(text)), failed);
    if (!failed) {
        return text;
    }
    std::string replaced = text;
    std::replace_if(
        replaced.begin(), replaced.end(),
        [](char byte) { return static_cast<unsigned char>(byte) > 127; }, '?');
    return replaced;
}

json::object encode(std::string const& text) {
    return {{"stringValue", replace_invalid_utf8(text)}};
}

// The JSON mapping of Protocol Buffers encodes 64-bit integers as strings.
json::object encode(std::int64_t number) {
    return {{"intValue", std::to_string(number)}};
}

json::object encode(double number) {
    if (!std::isfinite(number)) {
        return {{"stringValue", std::to_string(number)}};
    }
    return {{"doubleValue", number}};
}

json::object encode(bool flag) {
    return {{"boolValue", flag}};
}

json::object attribute(std::string const& key, span_attribute_value const& content) {
    return {{"key", replace_invalid_utf8(key)},
            {"value",
             std::visit([](auto const& alternative) { return encode(alternative); }, content)}};
}

std::string nanoseconds_since_epoch(wall_time time) {
    return std::to_string(std::chrono::duration_cast<nanoseconds>(time.time_since_epoch()).count());
}

json::object encode(span const& item) {
    json::array attributes;
    for (auto const& [key, content] : item.attributes) {
        attributes.push_back(attribute(key, content));
    }
    json::object object{{"traceId", to_hex(item.context.trace)},
                        {"spanId", to_hex(item.context.span)},
                        {"name", replace_invalid_utf8(item.name)},
                        {"kind", static_cast<int>(item.kind)},
                        {"startTimeUnixNano", nanoseconds_since_epoch(item.start)},
                        {"endTimeUnixNano", nanoseconds_since_epoch(item.end)},
                        {"attributes", std::move(attributes)},
                        {"status", {{"code", static_cast<int>(item.status)}}}};
    if (item.parent != span_id{}) {
        object["parentSpanId"] = to_hex(item.parent);
    }
    return object;
}

json::object resource(span_source const& source) {
    return {{"attributes",
             json::array{attribute("service.name", source.program),
                         attribute("service.instance.id", source.instance),
                         attribute("cloud.availability_zone", source.availability_zone)}}};
}

} // namespace

std::string encode_batch(std::vector<span> const& spans, span_source const& source) {
    json::array encoded_spans;
    for (auto const& item : spans) {
        encoded_spans.push_back(encode(item));
    }
    json::object scope_spans{{"scope", {{"name", "peridot"}}}, {"spans", std::move(encoded_spans)}};
    json::object resource_spans{{"resource", resource(source)},
                                {"scopeSpans", json::array{std::move(scope_spans)}}};
    json::object const batch{{"resourceSpans", json::array{std::move(resource_spans)}}};
    return json::serialize(batch);
}

} // namespace peridot
