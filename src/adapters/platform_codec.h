// JSON bodies of the platform's table service and machine list, both directions. The adapters and
// the emulator share them. Decoders return kInvalidRequest (Ran::kNo) for a malformed body. The
// formats are specified in docs/operators/platform_adapters.md.
#pragma once

#include <string>
#include <string_view>

#include "src/core/error.h"
#include "src/platform/machine_list.h"
#include "src/platform/table_store.h"

namespace chalkshed {

std::string encode_row_key(const RowKey& key);
Expected<RowKey> decode_row_key(std::string_view body);

std::string encode_read_result(const std::optional<Row>& row);
Expected<std::optional<Row>> decode_read_result(std::string_view body);

std::string encode_scan_request(const ScanRequest& request);
Expected<ScanRequest> decode_scan_request(std::string_view body);

std::string encode_scan_page(const ScanPage& page);
Expected<ScanPage> decode_scan_page(std::string_view body);

std::string encode_transaction(const Transaction& transaction);
Expected<Transaction> decode_transaction(std::string_view body);

std::string encode_commit_result(const CommitResult& result);
Expected<CommitResult> decode_commit_result(std::string_view body);

std::string encode_machine_list(const MachineListSnapshot& snapshot);
Expected<MachineListSnapshot> decode_machine_list(std::string_view body);

// @return the parsed "ip:port"; port 0 if the text is malformed.
Address decode_address(std::string_view text);

// Object names in URL paths: all characters except letters, digits and "-._~/" become %XX.
std::string encode_object_path(std::string_view name);
std::string decode_object_path(std::string_view path);

}  // namespace chalkshed
