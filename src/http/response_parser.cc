#include "src/http/response_parser.h"

#include <algorithm>
#include <cctype>

#include "src/core/number_text.h"

namespace chalkshed {
namespace {

constexpr int kHexadecimal = 16;
constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;

bool is_digit(char character) { return character >= '0' && character <= '9'; }

// A field value or reason with other control characters is an attack or a fault (RFC 9110, 5.5).
bool is_text(std::string_view text) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr char kDelete = 0x7f;
  return std::none_of(text.begin(), text.end(), [](char character) {
    const bool control = static_cast<unsigned char>(character) < kFirstPrintable;
    return (control && character != '\t') || character == kDelete;
  });
}

std::string_view trim(std::string_view text) {
  const size_t begin = text.find_first_not_of(" \t");
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

std::string_view trim_end(std::string_view text) {
  const size_t last = text.find_last_not_of(" \t");
  return last == std::string_view::npos ? std::string_view{} : text.substr(0, last + 1);
}

std::string lower_case(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return lower;
}

// Whether the comma-separated `list` contains `token`, ignoring case.
bool has_token(std::string_view list, std::string_view token) {
  const std::string lower = lower_case(list);
  std::string_view rest = lower;
  while (!rest.empty()) {
    const size_t comma = rest.find(',');
    if (trim(rest.substr(0, comma)) == token) {
      return true;
    }
    rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
  }
  return false;
}

// Whether all headers of that name have the same value. Implementations that choose different ones
// of several values disagree about the end of the response.
bool is_unambiguous(const HttpHeaders& headers, std::string_view name) {
  const auto first = find_header(headers, name);
  return std::all_of(headers.begin(), headers.end(), [&](const HttpHeader& header) {
    return lower_case(header.name) != lower_case(name) || header.value == first;
  });
}

// The timeout of a Keep-Alive header such as "timeout=5, max=100".
std::optional<uint32_t> parse_keep_alive(std::string_view text) {
  constexpr std::string_view kName = "timeout=";
  constexpr uint64_t kMaxSeconds = 24 * 3600;
  const size_t begin = lower_case(text).find(kName);
  if (begin == std::string::npos) {
    return std::nullopt;
  }
  const std::string_view rest = text.substr(begin + kName.size());
  const auto seconds = parse_number<uint64_t>(trim(rest.substr(0, rest.find(','))));
  return seconds ? std::optional(static_cast<uint32_t>(std::min(*seconds, kMaxSeconds)))
                 : std::nullopt;
}

}  // namespace

ResponseHeadParser::Progress ResponseHeadParser::add_line(std::string_view line) {
  if (!has_status_line_) {
    has_status_line_ = true;
    return parse_status_line(line) ? Progress::kMore : Progress::kMalformed;
  }
  if (line.empty()) {
    return complete();
  }
  return parse_header(line) ? Progress::kMore : Progress::kMalformed;
}

// status-line = "HTTP/1." DIGIT SP 3DIGIT [ SP reason ] (RFC 9112, 4). A status outside of the five
// classes of RFC 9110, 15 has no meaning that a caller could know.
bool ResponseHeadParser::parse_status_line(std::string_view line) {
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr size_t kStatusOffset = kVersion.size() + 2;
  constexpr size_t kStatusDigits = 3;
  constexpr size_t kStatusEnd = kStatusOffset + kStatusDigits;
  if (!line.starts_with(kVersion) || line.size() < kStatusEnd || !is_text(line)) {
    return false;
  }
  const char minor_version = line[kVersion.size()];
  const bool ends = line.size() == kStatusEnd || line[kStatusEnd] == ' ';
  if (!is_digit(minor_version) || line[kStatusOffset - 1] != ' ' || !ends) {
    return false;
  }
  http_1_0_ = minor_version == '0';
  const auto status = parse_number<uint64_t>(line.substr(kStatusOffset, kStatusDigits));
  head_.status = static_cast<int>(status.value_or(0));
  return head_.status >= kFirstStatus && head_.status <= kLastStatus;
}

bool ResponseHeadParser::parse_header(std::string_view line) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos || !is_header_name(line.substr(0, colon)) ||
      !is_text(line.substr(colon))) {
    return false;
  }
  head_.headers.push_back(
      {std::string(line.substr(0, colon)), std::string(trim(line.substr(colon + 1)))});
  return true;
}

ResponseHeadParser::Progress ResponseHeadParser::complete() {
  constexpr int kSwitchingProtocols = 101;
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  if (head_.status == kSwitchingProtocols) {
    return Progress::kMalformed;  // never requested
  }
  if (head_.status < 200) {
    *this = ResponseHeadParser(head_only_);  // interim response; the final one follows
    return Progress::kMore;
  }
  const std::string_view connection = find_header(head_.headers, "Connection").value_or("");
  head_.keep_alive =
      http_1_0_ ? has_token(connection, "keep-alive") : !has_token(connection, "close");
  head_.keep_alive_seconds =
      parse_keep_alive(find_header(head_.headers, "Keep-Alive").value_or(""));
  if (head_only_ || head_.status == kNoContent || head_.status == kNotModified) {
    return Progress::kComplete;
  }
  if (!is_unambiguous(head_.headers, "Transfer-Encoding") ||
      !is_unambiguous(head_.headers, "Content-Length")) {
    return Progress::kMalformed;
  }
  if (const auto encoding = find_header(head_.headers, "Transfer-Encoding")) {
    head_.framing = BodyFraming::kChunked;
    // A response with both headers may come from two implementations that disagree about its end.
    head_.keep_alive = head_.keep_alive && !find_header(head_.headers, "Content-Length");
    // HTTP/1.0 has no transfer codings.
    const bool chunked = lower_case(*encoding) == "chunked" && !http_1_0_;
    return chunked ? Progress::kComplete : Progress::kMalformed;
  }
  if (const auto length = find_header(head_.headers, "Content-Length")) {
    const std::optional<uint64_t> parsed = parse_number<uint64_t>(*length);
    head_.framing = BodyFraming::kLength;
    head_.content_length = parsed.value_or(0);
    return parsed ? Progress::kComplete : Progress::kMalformed;
  }
  head_.framing = BodyFraming::kUntilClose;
  head_.keep_alive = false;
  return Progress::kComplete;
}

std::optional<uint64_t> parse_chunk_size(std::string_view line) {
  return parse_number<uint64_t>(trim_end(line.substr(0, line.find(';'))), kHexadecimal);
}

}  // namespace chalkshed
