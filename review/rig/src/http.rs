//! HTTP/1.1 for the stand-ins: reading and writing of heads and bodies over blocking sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A connection with the bytes that were read and not used yet.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// Head of a request or an answer, with its body if that was read.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut all = self.headers.iter();
        all.find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    /// Path of a request, without the query.
    pub fn path(&self) -> &str {
        let target = self.line.split(' ').nth(1).unwrap_or("");
        target.split('?').next().unwrap_or("")
    }

    /// Value of a field of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let target = self.line.split(' ').nth(1)?;
        let query = target.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding")
            .is_some_and(|it| it.to_ascii_lowercase().contains("chunked"))
    }

    fn length(&self) -> Option<usize> {
        self.header("content-length")?.trim().parse().ok()
    }
}

fn ended() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the connection ended")
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16_384];
        let count = self.stream.read(&mut bytes)?;
        if count == 0 {
            return Err(ended());
        }
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(())
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads a head; the body is left.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let line = self.take_line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.take_line()?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
        Ok(Message {
            line,
            headers,
            body: Vec::new(),
        })
    }

    /// Reads a request with its body.
    pub fn read_request(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        self.read_body_into(&mut message, false)?;
        Ok(message)
    }

    /// Reads an answer with its body.
    pub fn read_answer(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        self.read_body_into(&mut message, true)?;
        Ok(message)
    }

    fn read_body_into(&mut self, message: &mut Message, until_close: bool) -> io::Result<()> {
        if message.is_chunked() {
            while let Some(chunk) = self.read_chunk()? {
                message.body.extend_from_slice(&chunk);
            }
        } else if let Some(length) = message.length() {
            message.body = self.take(length)?;
        } else if until_close {
            while self.fill().is_ok() {}
            message.body = std::mem::take(&mut self.buffer);
        }
        Ok(())
    }

    /// Reads one chunk; none at the last one.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.take_line()?;
        let length = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
            .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "no chunk"))?;
        if length == 0 {
            while !self.take_line()?.is_empty() {}
            return Ok(None);
        }
        let chunk = self.take(length)?;
        self.take(2)?;
        Ok(Some(chunk))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes an answer with a length.
    pub fn answer(&mut self, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        );
        let mut all = head.into_bytes();
        all.extend_from_slice(body);
        self.write(&all)
    }

    pub fn write_chunk(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut all = format!("{:x}\r\n", bytes.len()).into_bytes();
        all.extend_from_slice(bytes);
        all.extend_from_slice(b"\r\n");
        self.write(&all)
    }
}
