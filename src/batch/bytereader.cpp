#include "bytereader.h"

namespace rattanrill::batch {

std::uint64_t ByteReader::number()
{
    std::uint64_t value = 0;
    for (int shift = 0; shift < 64 && !m_rest.empty(); shift += 7) {
        const auto byte = static_cast<unsigned char>(m_rest.front());
        m_rest.remove_prefix(1);
        value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
        if ((byte & 0x80) == 0)
            return value;
    }
    setFailed();
    return 0;
}

std::int64_t ByteReader::signedNumber()
{
    const std::uint64_t value = number();
    const std::uint64_t sign = (value & 1) != 0 ? ~std::uint64_t{0} : 0;
    return static_cast<std::int64_t>((value >> 1) ^ sign);
}

std::string_view ByteReader::text()
{
    const std::size_t size = count();
    const std::string_view text = m_rest.substr(0, size);
    m_rest.remove_prefix(size);
    return text;
}

std::size_t ByteReader::count()
{
    const std::uint64_t value = number();
    if (value > m_rest.size())
        setFailed();
    return m_ok ? static_cast<std::size_t>(value) : 0;
}

std::uint64_t ByteReader::numberBelow(std::uint64_t end)
{
    const std::uint64_t value = number();
    if (value >= end)
        setFailed();
    return m_ok ? value : 0;
}

void ByteReader::setFailed()
{
    m_ok = false;
    m_rest = {};
}

} // namespace rattanrill::batch
