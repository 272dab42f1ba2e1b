//! A toy world for one forwarder: two endpoints of destination 3, and the platform with the list of endpoints and
//! an ear for notices. It answers by what is typed here, so that one can watch what the forwarder makes of it.
//!
//! It stands for other firms' systems and understands just enough HTTP for them.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const TARGETS: [(&str, &str); 2] = [("t-1", "127.0.0.1:9101"), ("t-2", "127.0.0.1:9102")];
const PLATFORM: &str = "127.0.0.1:8500";
const HELP: &str = "type  up     answer 200 after a tenth of a second (as at the start)
      fail   answer 500
      full   answer 429 and ask for a wait of two seconds
      hang   take calls and answer nothing
      quit   end";

/// How the endpoints answer now.
type Mood = Arc<Mutex<String>>;

struct Message {
    line: String,
    headers: BTreeMap<String, String>,
    body: Vec<u8>,
}

fn main() -> io::Result<()> {
    let mood: Mood = Arc::new(Mutex::new("up".into()));
    for (name, address) in TARGETS {
        let mood = mood.clone();
        listen(address, move |stream| endpoint(name, stream, &mood))?;
    }
    listen(PLATFORM, platform)?;
    println!("targets on {} and {}, platform on {PLATFORM}\n{HELP}", TARGETS[0].1, TARGETS[1].1);
    for line in io::stdin().lock().lines() {
        match line?.trim() {
            "quit" => break,
            word @ ("up" | "fail" | "full" | "hang") => *mood.lock().expect("no one panics") = word.into(),
            _ => println!("{HELP}"),
        }
    }
    Ok(())
}

/// Serves each connection in a thread of its own.
fn listen(
    address: &str,
    serve: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            // A connection that breaks is the other side's affair.
            thread::spawn(move || serve(stream).unwrap_or_default());
        }
    });
    Ok(())
}

fn endpoint(name: &str, mut stream: TcpStream, mood: &Mood) -> io::Result<()> {
    let mut from = BufReader::new(stream.try_clone()?);
    while let Some(call) = read(&mut from)? {
        let mood = mood.lock().expect("no one panics").clone();
        let id = call.headers.get("x-call-id").map_or("a bundle", String::as_str);
        println!("{name}: {} of {} bytes, {mood}", id, call.body.len());
        thread::sleep(Duration::from_millis(100));
        match mood.as_str() {
            "fail" => answer(&mut stream, "500 Internal Server Error", "", "")?,
            "full" => answer(&mut stream, "429 Too Many Requests", "Retry-After: 2\r\n", "")?,
            "hang" => thread::sleep(Duration::from_secs(3600)),
            _ => answer(&mut stream, "200 OK", "", &accepted(&call))?,
        }
    }
    Ok(())
}

/// What a batch is answered: a line for each message in it. A call with one message needs none.
fn accepted(call: &Message) -> String {
    let mut lines = String::new();
    let mut rest = &call.body[..];
    while call.line.contains("/bundle") {
        let Some(end) = rest.iter().position(|b| *b == b'\n') else { break };
        let head = String::from_utf8_lossy(&rest[..end]).into_owned();
        let mut words = head.split_whitespace();
        let (Some(id), Some(length)) = (words.next(), words.nth(1).and_then(|l| l.parse::<usize>().ok()))
        else {
            break;
        };
        lines += &format!("{id} accepted\r\n");
        rest = rest.get(end + 1 + length + 2..).unwrap_or_default();
    }
    lines
}

fn platform(mut stream: TcpStream) -> io::Result<()> {
    let mut from = BufReader::new(stream.try_clone()?);
    while let Some(asked) = read(&mut from)? {
        if asked.line.starts_with("POST /v2/finals") {
            print!("platform: {}", String::from_utf8_lossy(&asked.body));
            stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n")?;
        } else if asked.line.contains("stream=1") {
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            chunk(&mut stream, &(list() + "\n"))?;
            // Nothing changes here, which an empty line says every two seconds.
            loop {
                thread::sleep(Duration::from_secs(2));
                chunk(&mut stream, "\n")?;
            }
        } else {
            answer(&mut stream, "200 OK", "", &list())?;
        }
    }
    Ok(())
}

fn list() -> String {
    let entry = |(name, address): (&str, &str)| {
        format!(
            r#"{{"instanceId":"{name}","hostPort":"{address}","zone":"here","machineType":"partner","cell":3,"lifecycle":"Ready","weight":10.0,"startedAtMs":0}}"#
        )
    };
    format!(r#"{{"generation":1,"reset":true,"instances":[{}]}}"#, TARGETS.map(entry).join(","))
}

fn chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    write!(stream, "{:x}\r\n{text}\r\n", text.len())
}

fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> io::Result<()> {
    write!(stream, "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// The next request on a connection; none once it has ended.
fn read(from: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut header = String::new();
        from.read_line(&mut header)?;
        let Some((name, value)) = header.split_once(':') else { break };
        headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    from.read_exact(&mut body)?;
    Ok(Some(Message { line, headers, body }))
}
