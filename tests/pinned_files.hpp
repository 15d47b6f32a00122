#pragma once
// Reads the files of tests/pinned: bytes that were stored or sent by an earlier build. Each line holds
// fields with tabs between them; bytes are in hexadecimal, "-" stands for none, "#" begins a comment.
#include <cstdint>
#include <memory>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>
#include <thrift/protocol/TJSONProtocol.h>

#include "base/file.hpp"
#include "storage/record_codec.hpp"
#include "test.hpp"

namespace duneturn {

using PinnedLine = std::vector<std::string>;

inline auto pinnedPath(const std::string& name) -> std::string { return std::string(DT_PINNED) + "/" + name; }

inline auto readPinned(const std::string& name, std::size_t fields) -> std::vector<PinnedLine> {
    auto text = readFile(pinnedPath(name));
    CPPUNIT_ASSERT_MESSAGE(name, bool(text));
    auto lines = std::vector<PinnedLine>();
    auto stream = std::stringstream(*text);
    for (auto line = std::string(); std::getline(stream, line);) {
        if (line.empty() || line[0] == '#') continue;
        auto& found = lines.emplace_back();
        auto fieldStream = std::stringstream(line);
        for (auto field = std::string(); std::getline(fieldStream, field, '\t');) found.push_back(field);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("{}: {}", name, line), fields, found.size());
    }
    CPPUNIT_ASSERT_MESSAGE(name + " is empty", !lines.empty());
    return lines;
}

inline auto toHex(std::string_view bytes) -> std::string {
    auto text = std::string();
    for (auto byte : bytes) text += fmt::format("{:02x}", std::uint8_t(byte));
    return text.empty() ? "-" : text;
}

inline auto fromHex(const std::string& text) -> std::string {
    auto bytes = std::string();
    if (text == "-") return bytes;
    CPPUNIT_ASSERT_MESSAGE(text, text.size() % 2 == 0);
    for (auto i = std::size_t(0); i < text.size(); i += 2) {
        auto end = std::size_t(0);
        bytes += char(std::stoi(text.substr(i, 2), &end, 16));
        CPPUNIT_ASSERT_MESSAGE(text, end == 2);
    }
    return bytes;
}

/// A Thrift struct's values as JSON that names fields by number, so that a field's name does not matter.
template <class T>
auto valuesText(const T& record) -> std::string {
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    auto protocol = apache::thrift::protocol::TJSONProtocol(buffer);
    record.write(&protocol);
    return buffer->getBufferAsString();
}

template <class T>
auto valuesRead(const std::string& text) -> T {
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    buffer->write(reinterpret_cast<const std::uint8_t*>(text.data()), std::uint32_t(text.size()));
    auto protocol = apache::thrift::protocol::TJSONProtocol(buffer);
    auto record = T();
    record.read(&protocol);
    return record;
}

}  // namespace duneturn
